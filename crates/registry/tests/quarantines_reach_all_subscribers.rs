//! What one subscriber reports of prompt parts, all subscribers know soon, and registries that
//! restart or are lost end no quarantine.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalog::Catalog;
use registry::{
    Accusation, AccusingEndpoint, CatalogSink, PartAdmission, PartReport, PartState, PartView,
    PublishedPart, Subscription, SubscriptionSettings,
};
use slog::{Discard, Logger, o};
use support::{TestGroup, poll_until};
use tokio::time::sleep;

const BAD: u64 = 0xbad;
const SOUND: u64 = 0x50;

/// Time after which another crash is an event of its own, with the jitter of the tests' machines.
const EVENT_MS: u64 = 300;

/// Time in which a quarantine is known to all subscribers on a loaded machine.
const KNOWN_MS: u128 = 1_000;

struct NoDocuments;

impl CatalogSink for NoDocuments {
    fn install(&self, _catalog: &Arc<Catalog>) {}
}

fn subscribe(group: &TestGroup, instance: &str) -> Subscription {
    let settings = SubscriptionSettings {
        instance: instance.to_owned(),
        lease_ms: 4_200,
        lease_outdated_ms: 2_100,
        log: Logger::root(Discard, o!()),
        seeds: group.seeds(),
    };
    Subscription::spawn(settings, Arc::new(NoDocuments))
}

fn accusation(endpoint: u64, parts: &[u64]) -> Accusation {
    Accusation {
        endpoint: AccusingEndpoint {
            id: format!("i-00c0ffee{endpoint:02}"),
            started_at_ms: 1_790_000_000_000,
        },
        parts: parts.to_vec(),
    }
}

/// Reports crashes until the part is quarantined at the reporting subscriber's registries.
async fn quarantine(reporter: &Subscription) {
    for endpoint in 0..3 {
        sleep(Duration::from_millis(EVENT_MS)).await;
        let accusation = accusation(endpoint, &[SOUND, BAD]);
        reporter.report_parts(vec![accusation], Vec::new()).await;
    }
}

fn is_refused(subscription: &Subscription) -> bool {
    let admission = subscription.part_admission(&[SOUND, BAD]);
    matches!(admission, PartAdmission::Refused { .. })
}

/// Guards against a part that goes on to crash endpoints through the other instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_subscribers_learn_a_quarantine_and_its_end() {
    let group = TestGroup::new().await;
    let _registries = group.bootstrap_three().await;
    let (first, second) = (subscribe(&group, "x"), subscribe(&group, "y"));
    poll_until(async || (second.subscriber_count() == 2).then_some(())).await;
    poll_until(async || (first.subscriber_count() == 2).then_some(())).await;
    quarantine(&first).await;
    let reported_at = Instant::now();
    poll_until(async || is_refused(&second).then_some(())).await;
    assert!(reported_at.elapsed().as_millis() < KNOWN_MS);
    poll_until(async || is_refused(&first).then_some(())).await;
    assert_eq!(first.part_admission(&[SOUND]), PartAdmission::Admitted);
    assert!(!first.request_probe(&[SOUND, BAD]).await);
    assert_eq!(second.accused_parts(&[1, BAD]), [BAD]);
    second.report_parts(Vec::new(), vec![BAD]).await;
    let reported_at = Instant::now();
    poll_until(async || (!is_refused(&first)).then_some(())).await;
    poll_until(async || (!is_refused(&second)).then_some(())).await;
    assert!(reported_at.elapsed().as_millis() < KNOWN_MS);
    assert!(first.request_probe(&[SOUND, BAD]).await);
}

/// Guards against quarantines that a restart of all registries ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_quarantine_outlives_a_restart_of_all_registries() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    let subscription = subscribe(&group, "x");
    poll_until(async || subscription.request_probe(&[BAD]).await.then_some(())).await;
    quarantine(&subscription).await;
    poll_until(async || is_refused(&subscription).then_some(())).await;
    for registry in [first, second, third] {
        group.stop(registry).await;
    }
    let restarted = (
        group.join(1).await,
        group.join(2).await,
        group.join(3).await,
    );
    poll_until(async || subscription.request_probe(&[BAD]).await.then_some(())).await;
    assert!(is_refused(&subscription));
    drop(restarted);
}

fn registry(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn published(part: u64, remaining_ms: Option<u64>) -> PublishedPart {
    let state = remaining_ms.map_or(PartState::Watched, |remaining_ms| PartState::Quarantined {
        remaining_ms,
    });
    PublishedPart { part, state }
}

/// Guards against a quarantine that one registry has not learned of and so ends, and against one
/// that never ends.
#[test]
fn a_part_is_refused_while_any_registry_says_so() {
    let mut view = PartView::default();
    view.update(0, registry(1), (5, 1), &[published(BAD, Some(1_000))]);
    view.update(0, registry(2), (6, 1), &[published(BAD, None)]);
    let (part, remaining_ms) = (BAD, 1);
    let refused = PartAdmission::Refused { part, remaining_ms };
    assert_eq!(view.admission(999, &[1, BAD]), refused);
    assert_eq!(view.admission(999, &[1]), PartAdmission::Admitted);
    assert_eq!(
        view.admission(1_000, &[BAD]),
        PartAdmission::NeedsProbe { part }
    );
    view.update(1_000, registry(1), (5, 2), &[]);
    assert_eq!(view.admission(1_000, &[BAD]), PartAdmission::Admitted);
    assert_eq!(view.accused(&[BAD, SOUND]), [BAD]);
    assert_eq!(view.position(registry(1)), (5, 2));
}

/// Guards against a part that is free because the registry that quarantined it is gone, and against
/// one that stays refused although the other registries know that it is sound.
#[test]
fn a_quarantine_of_a_lost_registry_ends_in_time_or_with_a_release() {
    for restarted in [false, true] {
        let mut view = PartView::default();
        view.update(0, registry(1), (5, 1), &[published(BAD, Some(1_000))]);
        view.update(0, registry(2), (6, 1), &[published(BAD, Some(1_000))]);
        if restarted {
            view.update(1, registry(1), (9, 0), &[]);
        } else {
            view.disconnect(registry(1));
        }
        view.disconnect(registry(2));
        let (part, remaining_ms) = (BAD, 500);
        let refused = PartAdmission::Refused { part, remaining_ms };
        assert_eq!(view.admission(500, &[BAD]), refused);
        assert_eq!(view.admission(1_000, &[BAD]), PartAdmission::Admitted);
        view.connect(registry(2));
        view.update(600, registry(2), (6, 2), &[]);
        assert_eq!(view.admission(600, &[BAD]), PartAdmission::Admitted);
    }
}

/// Guards against reports and answers that weigh more than the page on capacity says.
#[test]
fn reports_and_published_parts_are_short() {
    let encoded_bytes = |accusations, sound_parts| {
        let report = PartReport {
            accusations,
            instance: "10.12.13.14:65000".to_owned(),
            sound_parts,
        };
        postcard::to_stdvec(&report).unwrap().len()
    };
    let parts = [u64::from(u32::MAX); 3];
    let empty_bytes = encoded_bytes(Vec::new(), Vec::new());
    let accusation_bytes = encoded_bytes(vec![accusation(1, &parts)], Vec::new()) - empty_bytes;
    let sound_bytes = encoded_bytes(Vec::new(), parts.to_vec()) - empty_bytes;
    assert_eq!((empty_bytes, accusation_bytes, sound_bytes), (20, 35, 15));
    let published_bytes = |part| postcard::to_stdvec(&vec![part; 100]).unwrap().len();
    let watched_bytes = published_bytes(published(parts[0], None));
    let quarantined_bytes = published_bytes(published(parts[0], Some(20_000)));
    assert_eq!((watched_bytes, quarantined_bytes), (601, 901));
}
