//! Permits for a limited endpoint keep its limit whichever instances request them, and what instances
//! report of a limit leads to the newest.

use quickcheck::QuickCheck;
use registry::{EndpointLimit, EndpointLimits, PermitAnswer, PermitRequest};

const ENDPOINT: &str = "i-1";
const LIMIT_PER_1000_S: u64 = 4_000;

/// Requests that the limit allows in 4 s.
const IN_WINDOW: usize = 16;

const WINDOW_MS: u64 = 4_000;

fn request(started_at_ms: u64, is_taken: bool) -> PermitRequest {
    PermitRequest {
        id: ENDPOINT.to_owned(),
        is_taken,
        requests_per_1000_s: LIMIT_PER_1000_S,
        started_at_ms,
    }
}

fn report(age_ms: u64, requests_per_1000_s: Option<u64>) -> EndpointLimit {
    EndpointLimit {
        age_ms,
        id: ENDPOINT.to_owned(),
        requests_per_1000_s,
        started_at_ms: 7,
    }
}

/// Limit that is published at a time.
fn published(limits: &EndpointLimits, now_ms: u64) -> Option<u64> {
    let published = limits.published(now_ms, |_| true);
    published
        .first()
        .and_then(|limit| limit.requests_per_1000_s)
}

/// Most times in any window.
fn most_in_window(times_ms: &[u64]) -> usize {
    let in_window = |start: &u64| {
        let end = start + WINDOW_MS;
        times_ms
            .iter()
            .filter(|at| (*start..end).contains(at))
            .count()
    };
    times_ms.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against instances that get more permits together than the endpoint takes.
#[test]
fn permits_of_any_requests_keep_the_limit() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn keep_the_limit(pauses_ms: Vec<u8>) -> bool {
        let mut limits = EndpointLimits::default();
        let mut now_ms = 10_000;
        let mut permits_ms = Vec::new();
        for pause_ms in pauses_ms.iter().cycle().take(2_000) {
            now_ms += u64::from(pause_ms / 8);
            let answer = limits.grant(now_ms, &request(7, false), 9);
            if let PermitAnswer::Granted { after_ms } = answer {
                permits_ms.push(now_ms + after_ms);
            }
        }
        most_in_window(&permits_ms) <= IN_WINDOW + 1
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(keep_the_limit as fn(Vec<u8>) -> bool);
}

/// Guards against permits that are saved up while nobody uses them.
#[test]
fn unused_permits_are_not_saved_up() {
    let mut limits = EndpointLimits::default();
    limits.grant(0, &request(7, false), 9);
    let mut permits_ms = Vec::new();
    for now_ms in 60_000..61_000 {
        if let PermitAnswer::Granted { after_ms } = limits.grant(now_ms, &request(7, false), 9) {
            permits_ms.push(now_ms + after_ms);
        }
    }
    assert!(most_in_window(&permits_ms) <= 7, "{permits_ms:?}");
}

/// Guards against one busy instance that gets a small part although the others request nothing.
#[test]
fn one_instance_gets_all_that_the_limit_allows() {
    let mut limits = EndpointLimits::default();
    let mut next_ms = 0;
    let mut granted = 0;
    for now_ms in 0..WINDOW_MS {
        if now_ms < next_ms {
            continue;
        }
        match limits.grant(now_ms, &request(7, false), 85) {
            PermitAnswer::Granted { .. } => granted += 1,
            PermitAnswer::Refused { retry_after_ms } => next_ms = now_ms + retry_after_ms,
        }
    }
    assert!(granted >= IN_WINDOW, "{granted} permits");
}

/// Guards against requests that are sent in any case, such as returns to an endpoint, and not counted.
#[test]
fn requests_sent_without_a_permit_are_counted() {
    let mut limits = EndpointLimits::default();
    for _ in 0..8 {
        limits.grant(0, &request(7, true), 9);
    }
    let refused = PermitAnswer::Refused {
        retry_after_ms: 1_500,
    };
    assert_eq!(limits.grant(0, &request(7, false), 9), refused);
}

/// Guards against a limit of 0 whose end nobody would notice.
#[test]
fn a_limit_of_zero_allows_single_requests() {
    let mut limits = EndpointLimits::default();
    limits.record(0, &report(0, Some(0)));
    let mut granted = 0;
    for now_ms in 0..60_000 {
        let answer = limits.grant(now_ms, &request(7, false), 9);
        granted += usize::from(matches!(answer, PermitAnswer::Granted { .. }));
    }
    assert_eq!(granted, 7);
}

/// Guards against a late report that brings back a limit which has ended, or a value that has changed.
#[test]
fn the_newest_report_holds() {
    let mut limits = EndpointLimits::default();
    assert_eq!(published(&limits, 10_000), None);
    limits.record(10_000, &report(100, Some(4_000)));
    limits.record(10_000, &report(500, None));
    assert_eq!(published(&limits, 10_000), Some(4_000));
    limits.record(11_000, &report(0, Some(2_000)));
    limits.record(11_100, &report(1_000, Some(4_000)));
    assert_eq!(published(&limits, 11_100), Some(2_000));
    limits.record(12_000, &report(10, None));
    limits.record(12_000, &report(900, Some(2_000)));
    assert_eq!(published(&limits, 12_000), None);
}

/// Guards against the limit of an endpoint that has started again.
#[test]
fn a_new_incarnation_has_no_limit() {
    let mut limits = EndpointLimits::default();
    limits.record(10_000, &report(0, Some(4_000)));
    limits.grant(10_000, &request(8, false), 9);
    assert_eq!(published(&limits, 10_000), None);
    limits.record(10_500, &report(0, Some(4_000)));
    assert_eq!(published(&limits, 10_500), None);
}
