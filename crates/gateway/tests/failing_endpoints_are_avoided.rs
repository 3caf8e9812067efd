//! Pattern: an endpoint fails a part of its requests while its heartbeats say that it is well.

use gateway::EndpointHealth;

fn judged(health: &mut EndpointHealth, now_ms: u64) -> bool {
    let (failures, successes) = health.recent_counts(now_ms);
    health.apply_recent_counts(now_ms, failures, successes);
    health.is_ejected(now_ms)
}

#[test]
fn single_failures_are_expected() {
    let mut health = EndpointHealth::default();
    health.record_failure(0);
    health.record_failure(10);
    assert!(!judged(&mut health, 20));
}

#[test]
fn a_seventh_of_failures_is_no_reason() {
    let mut health = EndpointHealth::default();
    for round in 0..10 {
        health.record_failure(round);
        for _ in 0..6 {
            health.record_success(round);
        }
    }
    assert!(!judged(&mut health, 20));
}

#[test]
fn an_endpoint_that_fails_half_is_avoided_for_a_while() {
    let mut health = EndpointHealth::default();
    for round in 0..4 {
        health.record_failure(round);
        health.record_success(round);
    }
    assert!(judged(&mut health, 20));
    assert!(health.is_ejected(2_000));
    assert!(!health.is_ejected(5_000), "requests try it again");
}

#[test]
fn an_endpoint_without_connections_is_tried_ever_more_seldom() {
    let mut health = EndpointHealth::default();
    health.record_unreachable(0);
    assert!(health.is_ejected(299));
    assert!(!health.is_ejected(300));
    health.record_unreachable(300);
    assert!(health.is_ejected(899));
    health.record_success(900);
    health.record_unreachable(1_000);
    assert!(!health.is_ejected(1_300), "an answer begins anew");
}
