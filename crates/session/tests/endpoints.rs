//! Leases of endpoints at the owner of their shard.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use session::{
    ENDED_ENDPOINT_RETENTION_MS, ENDPOINT_LEASE_MS, EndpointEvent, EndpointState, Endpoints,
};
use support::{announcement, endpoint};

#[derive(Clone, Debug)]
struct Step {
    incarnation: u64,
    leaving: bool,
    sequence: u64,
    wait_ms: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            incarnation: u64::arbitrary(g) % 3,
            leaving: bool::arbitrary(g),
            sequence: u64::arbitrary(g) % 8,
            wait_ms: u64::arbitrary(g) % 1_500,
        }
    }
}

fn only_announcements_in_order_are_accepted(steps: Vec<Step>) -> bool {
    let mut endpoints = Endpoints::default();
    let mut last = None;
    let mut now_ms = 0;
    steps.into_iter().all(|step| {
        now_ms += step.wait_ms;
        endpoints.expire(now_ms);
        let state = if step.leaving {
            EndpointState::Leaving
        } else {
            EndpointState::Ready
        };
        let next = announcement(step.incarnation, step.sequence, state);
        let is_accepted = endpoints.announce(now_ms, &endpoint(1), &next).is_ok();
        let key = (step.incarnation, step.sequence);
        let is_in_order = last.is_none_or(|(known, _)| key >= known);
        let has_expired = last.is_none_or(|(_, at_ms)| {
            now_ms >= at_ms + ENDPOINT_LEASE_MS + ENDED_ENDPOINT_RETENTION_MS
        });
        if is_accepted {
            last = Some((key, now_ms));
        }
        is_accepted == is_in_order || (is_accepted && has_expired)
    })
}

#[test]
fn an_announcement_older_than_the_last_one_is_refused() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 2))
        .tests(1_000)
        .quickcheck(only_announcements_in_order_are_accepted as fn(Vec<Step>) -> bool);
}

#[test]
fn a_late_announcement_does_not_revive_a_lapsed_endpoint() {
    let mut endpoints = Endpoints::default();
    let leaving = announcement(1, 10, EndpointState::Leaving);
    endpoints
        .announce(0, &endpoint(1), &leaving)
        .expect("the first is accepted");
    assert_eq!(endpoints.expire(ENDPOINT_LEASE_MS).len(), 1);
    let late = announcement(1, 9, EndpointState::Ready);
    let refused = endpoints.announce(ENDPOINT_LEASE_MS + 1, &endpoint(1), &late);
    assert!(refused.is_err());
}

#[test]
fn a_restarted_endpoint_ends_its_previous_incarnation() {
    let mut endpoints = Endpoints::default();
    let first = announcement(1, 10, EndpointState::Ready);
    let events = endpoints
        .announce(0, &endpoint(1), &first)
        .expect("the first is accepted");
    let [EndpointEvent::Announced(old)] = events[..] else {
        panic!("one event for a new endpoint, not {events:?}");
    };
    let second = announcement(2, 0, EndpointState::Ready);
    let events = endpoints
        .announce(1, &endpoint(1), &second)
        .expect("a later incarnation is accepted");
    assert!(
        matches!(events[..], [EndpointEvent::Lapsed(lapsed), EndpointEvent::Announced(new)] if lapsed == old && new != old)
    );
}

#[test]
fn a_reclaimed_endpoint_accepts_no_new_work() {
    let mut reclaimed = announcement(1, 1, EndpointState::Ready);
    reclaimed.reclaim_in_ms = Some(30_000);
    let events = Endpoints::default()
        .announce(0, &endpoint(1), &reclaimed)
        .expect("the first is accepted");
    assert!(matches!(events[..], [EndpointEvent::Leaving(_)]));
}
