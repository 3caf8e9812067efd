//! Leases of endpoints at their owner.

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

fn only_news_in_order_is_taken(steps: Vec<Step>) -> bool {
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
        let news = announcement(step.incarnation, step.sequence, state);
        let taken = endpoints.announce(now_ms, &endpoint(1), &news).is_ok();
        let key = (step.incarnation, step.sequence);
        let in_order = last.is_none_or(|(known, _)| key >= known);
        let forgotten = last.is_none_or(|(_, at_ms)| {
            now_ms >= at_ms + ENDPOINT_LEASE_MS + ENDED_ENDPOINT_RETENTION_MS
        });
        if taken {
            last = Some((key, now_ms));
        }
        taken == in_order || (taken && forgotten)
    })
}

#[test]
fn an_announcement_older_than_the_last_one_is_refused() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 2))
        .tests(1_000)
        .quickcheck(only_news_in_order_is_taken as fn(Vec<Step>) -> bool);
}

#[test]
fn a_late_announcement_does_not_bring_back_an_endpoint_that_left() {
    let mut endpoints = Endpoints::default();
    let leaving = announcement(1, 10, EndpointState::Leaving);
    endpoints
        .announce(0, &endpoint(1), &leaving)
        .expect("the first is taken");
    assert_eq!(endpoints.expire(ENDPOINT_LEASE_MS).len(), 1);
    let late = announcement(1, 9, EndpointState::Ready);
    let taken = endpoints.announce(ENDPOINT_LEASE_MS + 1, &endpoint(1), &late);
    assert!(taken.is_err());
}

#[test]
fn a_restarted_endpoint_ends_the_run_before() {
    let mut endpoints = Endpoints::default();
    let first = announcement(1, 10, EndpointState::Ready);
    let events = endpoints
        .announce(0, &endpoint(1), &first)
        .expect("the first is taken");
    let [EndpointEvent::Announced(old)] = events[..] else {
        panic!("one event for a new endpoint, not {events:?}");
    };
    let second = announcement(2, 0, EndpointState::Ready);
    let events = endpoints
        .announce(1, &endpoint(1), &second)
        .expect("a later incarnation is taken");
    assert!(
        matches!(events[..], [EndpointEvent::Lapsed(lapsed), EndpointEvent::Announced(new)] if lapsed == old && new != old)
    );
}

#[test]
fn a_reclaimed_endpoint_takes_no_new_work() {
    let mut news = announcement(1, 1, EndpointState::Ready);
    news.reclaim_in_ms = Some(30_000);
    let events = Endpoints::default()
        .announce(0, &endpoint(1), &news)
        .expect("the first is taken");
    assert!(matches!(events[..], [EndpointEvent::Leaving(_)]));
}
