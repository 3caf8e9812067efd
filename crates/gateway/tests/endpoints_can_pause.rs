//! An endpoint can ask in a response that no requests are sent to it for a time.

use gateway::EndpointNotice;

const HOUR_MS: u64 = 3_600_000;

/// Guards against an endpoint that is used during its pause, or not used after it.
#[test]
fn a_pause_ends_after_its_time() {
    let mut notice = EndpointNotice::default();
    assert!(!notice.is_paused(1_000));
    assert!(notice.record_retry_after(1_000, 700));
    assert!(notice.is_paused(1_699));
    assert_eq!(notice.pause_left_ms(1_200), 500);
    assert!(!notice.is_paused(1_700));
}

/// Guards against a pause that a response to an earlier request shortens.
#[test]
fn a_shorter_time_does_not_shorten_a_pause() {
    let mut notice = EndpointNotice::default();
    assert!(notice.record_retry_after(0, 2_000));
    assert!(!notice.record_retry_after(100, 200), "the pause goes on");
    assert!(notice.is_paused(1_999));
    assert!(!notice.record_retry_after(1_000, 5_000));
    assert!(notice.is_paused(5_999));
}

/// Guards against an endpoint that an absurd time removes for good.
#[test]
fn a_pause_lasts_an_hour_at_most() {
    let mut notice = EndpointNotice::default();
    notice.record_retry_after(5, u64::MAX);
    assert!(notice.is_paused(HOUR_MS + 4));
    assert!(!notice.is_paused(HOUR_MS + 5));
}

/// Guards against a time of zero that is taken for a pause.
#[test]
fn no_time_is_no_pause() {
    let mut notice = EndpointNotice::default();
    assert!(!notice.record_retry_after(5, 0));
    assert!(!notice.is_paused(5));
}

/// Guards against a leave that is announced more than once.
#[test]
fn only_the_first_announcement_of_a_leave_is_new() {
    let mut notice = EndpointNotice::default();
    assert!(notice.record_leaving());
    assert!(!notice.record_leaving());
    assert!(notice.is_leaving());
}
