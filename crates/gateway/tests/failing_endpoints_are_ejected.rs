//! An endpoint can fail some of its requests while its heartbeats report it as ready.

use gateway::EndpointHealth;

fn is_ejected_by_own_counts(health: &mut EndpointHealth, now_ms: u64) -> bool {
    let (failures, successes) = health.recent_counts(now_ms);
    health.apply_counts(now_ms, failures, successes);
    health.is_ejected(now_ms)
}

#[test]
fn two_failures_do_not_eject() {
    let mut health = EndpointHealth::default();
    health.record_failure(0);
    health.record_failure(10);
    assert!(!is_ejected_by_own_counts(&mut health, 20));
}

#[test]
fn one_failure_in_seven_does_not_eject() {
    let mut health = EndpointHealth::default();
    for round in 0..10 {
        health.record_failure(round);
        for _ in 0..6 {
            health.record_success(round);
        }
    }
    assert!(!is_ejected_by_own_counts(&mut health, 20));
}

#[test]
fn an_endpoint_that_fails_half_is_ejected_and_later_used_again() {
    let mut health = EndpointHealth::default();
    for round in 0..4 {
        health.record_failure(round);
        health.record_success(round);
    }
    assert!(is_ejected_by_own_counts(&mut health, 20));
    assert!(health.is_ejected(2_000));
    assert!(!health.is_ejected(5_000), "the ejection ends");
}

#[test]
fn ejection_of_an_unreachable_endpoint_doubles_until_a_success() {
    let mut health = EndpointHealth::default();
    health.record_unreachable(0);
    assert!(health.is_ejected(299));
    assert!(!health.is_ejected(300));
    health.record_unreachable(300);
    assert!(health.is_ejected(899));
    health.record_success(900);
    health.record_unreachable(1_000);
    assert!(
        !health.is_ejected(1_300),
        "a success resets the ejection time"
    );
}
