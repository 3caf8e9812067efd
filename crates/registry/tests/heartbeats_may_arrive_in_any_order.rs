//! Late, duplicated and reordered heartbeats, also of older incarnations or at reused addresses,
//! leave the directory with the state of the latest incarnation.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use registry::{
    Directory, DirectoryView, EndpointRecord, EndpointState, RecordOutcome, Registration,
    update_batch_delay,
};

const SILENT_AFTER_MS: u64 = 4_200;

fn registration(id: &str, port: u16, started_at_ms: u64, sequence: u64) -> Registration {
    Registration {
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        started_at_ms,
        cold_left_ms: 0,
        data_centre: "plovdiv-a".to_owned(),
        id: id.to_owned(),
        sequence,
        service: "forge-llm".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
        software_version: "v1".to_owned(),
    }
}

fn draining(registration: Registration) -> Registration {
    Registration {
        state: EndpointState::Draining,
        ..registration
    }
}

fn state(directory: &Directory, id: &str) -> EndpointState {
    directory.registration(id).unwrap().state
}

#[test]
fn a_draining_endpoint_stays_draining_after_late_heartbeats() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 1));
    let outcome = directory.record_heartbeat(10, draining(registration("a", 1, 5, 3)));
    assert_eq!(outcome, RecordOutcome::Changed);
    assert_eq!(
        directory.record_heartbeat(20, registration("a", 1, 5, 2)),
        RecordOutcome::Outdated
    );
    directory.record_heartbeat(30, registration("a", 1, 5, 4));
    assert_eq!(state(&directory, "a"), EndpointState::Draining);
}

#[test]
fn a_late_heartbeat_does_not_revive_an_endpoint_that_left() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 1));
    assert_eq!(directory.record_leave("a", None), RecordOutcome::Changed);
    assert_eq!(
        directory.record_heartbeat(10, registration("a", 1, 5, 9)),
        RecordOutcome::Outdated
    );
    assert_eq!(state(&directory, "a"), EndpointState::Gone);
}

#[test]
fn a_later_incarnation_replaces_one_with_the_same_id() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 40));
    directory.record_leave("a", None);
    assert_eq!(
        directory.record_heartbeat(10, registration("a", 1, 6, 1)),
        RecordOutcome::Changed
    );
    assert_eq!(state(&directory, "a"), EndpointState::Ready);
    assert_eq!(
        directory.record_leave("a", Some(5)),
        RecordOutcome::Outdated,
        "the older incarnation left"
    );
}

#[test]
fn a_reused_address_belongs_to_the_later_incarnation() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 1));
    directory.record_heartbeat(10, registration("b", 1, 9, 1));
    assert_eq!(state(&directory, "a"), EndpointState::Gone);
    assert_eq!(
        directory.record_heartbeat(20, registration("c", 1, 7, 1)),
        RecordOutcome::Outdated,
        "a delayed heartbeat of a crashed incarnation"
    );
    assert_eq!(state(&directory, "b"), EndpointState::Ready);
}

#[test]
fn a_silent_endpoint_is_published_once_and_again_on_its_next_heartbeat() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 1));
    assert!(!directory.expire(SILENT_AFTER_MS, SILENT_AFTER_MS));
    assert!(directory.expire(SILENT_AFTER_MS + 1, SILENT_AFTER_MS));
    assert!(!directory.expire(SILENT_AFTER_MS + 2, SILENT_AFTER_MS));
    let cursor = directory.cursor();
    directory.record_heartbeat(SILENT_AFTER_MS + 3, registration("a", 1, 5, 2));
    let changes = directory.changes_since(cursor);
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].is_silent);
}

#[test]
fn a_repeated_heartbeat_is_no_change_for_subscribers() {
    let mut directory = Directory::default();
    directory.record_heartbeat(0, registration("a", 1, 5, 1));
    let cursor = directory.cursor();
    assert_eq!(
        directory.record_heartbeat(10, registration("a", 1, 5, 2)),
        RecordOutcome::Refreshed
    );
    assert!(directory.changes_since(cursor).is_empty());
    assert_eq!(directory.changes_since(0).len(), 1);
}

/// Heartbeats of one endpoint: start of its incarnation, sequence number and whether it drains.
#[derive(Clone, Debug)]
struct Heartbeats(Vec<(u8, u8, bool)>);

impl Arbitrary for Heartbeats {
    fn arbitrary(g: &mut Gen) -> Self {
        let heartbeats = (0..usize::arbitrary(g) % 24).map(|_| {
            let (started_at, sequence) = (u8::arbitrary(g) % 3, u8::arbitrary(g) % 6);
            (started_at, sequence, bool::arbitrary(g))
        });
        Self(heartbeats.collect())
    }
}

/// The state of an incarnation is the most advanced one of its heartbeats.
#[test]
fn the_order_of_heartbeats_does_not_matter() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn reaches_the_most_advanced_state(heartbeats: Heartbeats) -> bool {
        let to_registration = |&(started_at, sequence, is_draining): &(u8, u8, bool)| {
            let heartbeat = registration("a", 1, u64::from(started_at), u64::from(sequence));
            if is_draining {
                draining(heartbeat)
            } else {
                heartbeat
            }
        };
        let mut directory = Directory::default();
        for heartbeat in heartbeats.0.iter().map(to_registration) {
            directory.record_heartbeat(0, heartbeat);
        }
        let Some(latest_start) = heartbeats.0.iter().map(|heartbeat| heartbeat.0).max() else {
            return true;
        };
        let mut latest = heartbeats
            .0
            .iter()
            .filter(|heartbeat| heartbeat.0 == latest_start);
        let is_draining = latest.any(|heartbeat| heartbeat.2);
        let known = directory.registration("a").unwrap();
        known.started_at_ms == u64::from(latest_start)
            && (known.state == EndpointState::Draining) == is_draining
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(reaches_the_most_advanced_state as fn(Heartbeats) -> bool);
}

fn record(registration: Registration, is_silent: bool) -> EndpointRecord {
    EndpointRecord {
        is_silent,
        registration,
    }
}

#[test]
fn a_subscriber_uses_the_most_advanced_state_of_all_registries() {
    let (first, second) = (
        "10.0.1.1:7200".parse().unwrap(),
        "10.0.1.2:7200".parse().unwrap(),
    );
    let mut view = DirectoryView::default();
    view.update(first, 1, 1, vec![record(registration("a", 1, 5, 9), false)]);
    view.update(
        second,
        1,
        1,
        vec![record(draining(registration("a", 1, 5, 3)), true)],
    );
    let endpoints = view.endpoints();
    assert_eq!(endpoints.len(), 1);
    assert_eq!(endpoints[0].registration.state, EndpointState::Draining);
    assert!(
        !endpoints[0].is_silent,
        "one registry has a recent heartbeat"
    );
}

#[test]
fn a_disconnected_registry_does_not_show_that_an_endpoint_lives() {
    let (first, second) = (
        "10.0.1.1:7200".parse().unwrap(),
        "10.0.1.2:7200".parse().unwrap(),
    );
    let mut view = DirectoryView::default();
    view.update(first, 1, 1, vec![record(registration("a", 1, 5, 9), false)]);
    view.update(second, 1, 1, vec![record(registration("a", 1, 5, 9), true)]);
    view.disconnect(first);
    assert!(view.endpoints()[0].is_silent);
    view.disconnect(second);
    assert!(
        !view.endpoints()[0].is_silent,
        "without any registry, the last known state is used"
    );
}

#[test]
fn a_new_epoch_of_a_registry_replaces_its_directory() {
    let first = "10.0.1.1:7200".parse().unwrap();
    let mut view = DirectoryView::default();
    view.update(first, 1, 7, vec![record(registration("a", 1, 5, 9), false)]);
    assert_eq!(view.position(first), (1, 7));
    view.update(first, 2, 1, vec![record(registration("b", 2, 6, 1), false)]);
    let ids: Vec<_> = view
        .endpoints()
        .into_iter()
        .map(|endpoint| endpoint.registration.id.clone())
        .collect();
    assert_eq!(ids, ["b"]);
}

/// All endpoints of a large fleet may register again at once, in many small updates.
#[test]
fn an_update_leaves_all_other_endpoints_shared() {
    let mut view = DirectoryView::default();
    let registry = "10.0.0.1:7200".parse().unwrap();
    let all = (0..100).map(|number| {
        record(
            registration(&format!("{number:03}"), number + 1, 5, 1),
            false,
        )
    });
    view.update(registry, 1, 1, all.collect());
    let before = view.endpoints();
    let changed = record(draining(registration("042", 43, 5, 2)), false);
    view.update(registry, 1, 2, vec![changed]);
    let after = view.endpoints();
    let pairs = before.iter().zip(&after);
    let shared = pairs.filter(|(one, other)| Arc::ptr_eq(&one.registration, &other.registration));
    assert_eq!(shared.count(), 99);
    assert_eq!(after[42].registration.state, EndpointState::Draining);
}

#[test]
fn the_batch_delay_bounds_the_answers_per_second() {
    const ANSWERS_PER_SECOND_MAX: f64 = 4_500.0;
    for subscribers in [1, 9, 85, 300, 1_000] {
        let delay_s = update_batch_delay(subscribers).as_secs_f64();
        #[allow(clippy::cast_precision_loss, reason = "small numbers")]
        let answers_per_second = subscribers as f64 / delay_s;
        assert!(
            answers_per_second <= ANSWERS_PER_SECOND_MAX,
            "{subscribers}"
        );
        assert!(delay_s <= 0.25, "updates of leaving endpoints are late");
    }
}
