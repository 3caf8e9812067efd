//! Pattern: an endpoint fails a part of its requests while its heartbeats say that it is well.

use gateway::Health;

fn judged(health: &mut Health, now_ms: u64) -> bool {
    let (failures, successes) = health.counts(now_ms);
    health.judge(now_ms, failures, successes);
    health.is_avoided(now_ms)
}

#[test]
fn single_failures_are_expected() {
    let mut health = Health::default();
    health.fail(0);
    health.fail(10);
    assert!(!judged(&mut health, 20));
}

#[test]
fn a_seventh_of_failures_is_no_reason() {
    let mut health = Health::default();
    for round in 0..10 {
        health.fail(round);
        for _ in 0..6 {
            health.succeed(round);
        }
    }
    assert!(!judged(&mut health, 20));
}

#[test]
fn an_endpoint_that_fails_half_is_avoided_for_a_while() {
    let mut health = Health::default();
    for round in 0..4 {
        health.fail(round);
        health.succeed(round);
    }
    assert!(judged(&mut health, 20));
    assert!(health.is_avoided(2_000));
    assert!(!health.is_avoided(5_000), "requests try it again");
}

#[test]
fn an_endpoint_without_connections_is_tried_ever_more_seldom() {
    let mut health = Health::default();
    health.miss(0);
    assert!(health.is_avoided(299));
    assert!(!health.is_avoided(300));
    health.miss(300);
    assert!(health.is_avoided(899));
    health.succeed(900);
    health.miss(1_000);
    assert!(!health.is_avoided(1_300), "an answer begins anew");
}
