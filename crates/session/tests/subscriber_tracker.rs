//! Heartbeats of the subscribers of a publisher, and when edits are in force.

mod support;

use names::LogIndex;
use session::{CONFIGURATION_LEASE_MS, HeartbeatResult, MEMBER_TIMEOUT_MS, SubscriberTracker};
use support::{heartbeat, member, restarted_member};

#[test]
fn a_heartbeat_older_than_the_timeout_is_ignored_shortly_after_the_start() {
    let mut tracker = SubscriberTracker::new(10, 1);
    tracker.record_forwarded_heartbeat(10, &heartbeat(&member(1), MEMBER_TIMEOUT_MS, 0));
    assert_eq!(tracker.roster().members().count(), 0);
}

#[test]
fn an_older_live_process_keeps_an_edit_out_of_force() {
    let mut tracker = SubscriberTracker::new(0, 1);
    let now_ms = 10 * CONFIGURATION_LEASE_MS;
    let older = member(1);
    tracker.record_heartbeat(now_ms, &heartbeat(&older, 0, 4));
    tracker.record_heartbeat(now_ms, &heartbeat(&restarted_member(&older, 2, 7), 0, 5));
    assert!(!tracker.is_in_force(now_ms + 1, LogIndex(5), now_ms));
    let lapsed_ms = now_ms + CONFIGURATION_LEASE_MS;
    tracker.record_heartbeat(lapsed_ms, &heartbeat(&restarted_member(&older, 2, 7), 0, 5));
    assert!(tracker.is_in_force(lapsed_ms, LogIndex(5), lapsed_ms));
}

#[test]
fn a_superseded_process_behind_a_relay_keeps_an_edit_out_of_force() {
    let mut tracker = SubscriberTracker::new(0, 1);
    let now_ms = 10 * CONFIGURATION_LEASE_MS;
    let newer = restarted_member(&member(1), 2, 7);
    tracker.record_heartbeat(now_ms, &heartbeat(&newer, 0, 5));
    tracker.record_forwarded_heartbeat(now_ms, &heartbeat(&member(1), 0, 4));
    assert!(!tracker.is_in_force(now_ms + 1, LogIndex(5), now_ms));
}

#[test]
fn a_lower_incarnation_is_accepted_after_the_higher_one_expired() {
    let mut tracker = SubscriberTracker::new(0, 1);
    tracker.record_heartbeat(0, &heartbeat(&restarted_member(&member(1), 9, 1), 0, 0));
    let restarted = heartbeat(&restarted_member(&member(1), 3, 2), 0, 0);
    assert_eq!(
        tracker.record_heartbeat(1_000, &restarted),
        HeartbeatResult::Superseded
    );
    tracker.expire(MEMBER_TIMEOUT_MS);
    assert_eq!(
        tracker.record_heartbeat(MEMBER_TIMEOUT_MS, &restarted),
        HeartbeatResult::Accepted
    );
    assert_eq!(tracker.roster().members().next(), Some(&restarted.member));
}

#[test]
fn a_late_heartbeat_does_not_lower_the_applied_revision() {
    let mut tracker = SubscriberTracker::new(0, 1);
    let now_ms = 10 * CONFIGURATION_LEASE_MS;
    tracker.record_heartbeat(now_ms, &heartbeat(&member(1), 0, 5));
    tracker.record_forwarded_heartbeat(now_ms, &heartbeat(&member(1), 400, 4));
    assert!(tracker.is_in_force(now_ms, LogIndex(5), now_ms));
}
