//! An instance sends requests to a limited endpoint only with permits, knows the newest of what it was
//! told of the limit, and has a share of it while no registry grants permits.

use gateway::EndpointLimit;
use registry::PermitAnswer;

const LIMIT_PER_1000_S: u64 = 4_000;
const GRANTED_NOW: PermitAnswer = PermitAnswer::Granted { after_ms: 0 };

fn limited() -> EndpointLimit {
    let mut limit = EndpointLimit::default();
    assert!(limit.record_response(1_000, 990, Some(LIMIT_PER_1000_S)));
    limit
}

#[test]
fn an_endpoint_without_a_limit_needs_no_permit() {
    let mut limit = EndpointLimit::default();
    assert!(limit.allows_request(0) && limit.use_permit(0));
    assert_eq!((limit.begin_requests(0, 10), limit.wait_ms(0)), (0, 0));
}

#[test]
fn a_permit_allows_one_request_while_it_is_valid() {
    let mut limit = limited();
    assert!(!limit.allows_request(1_000));
    assert_eq!(limit.begin_requests(1_000, 1), 1);
    limit.apply_answer(1_010, PermitAnswer::Granted { after_ms: 200 });
    assert_eq!(limit.wait_ms(1_010), 200);
    assert!(!limit.allows_request(1_209));
    assert!(limit.allows_request(1_210));
    assert!(limit.use_permit(1_210));
    assert!(!limit.use_permit(1_210));
    limit.begin_requests(1_300, 1);
    limit.apply_answer(1_300, GRANTED_NOW);
    assert!(!limit.allows_request(1_800), "the permit is old");
}

/// Guards against permits that a busy registry is asked for again and again.
#[test]
fn refused_permits_are_requested_again_when_the_registry_says() {
    let mut limit = limited();
    assert_eq!(limit.begin_requests(1_000, 3), 3);
    assert_eq!(limit.begin_requests(1_000, 3), 0);
    for _ in 0..3 {
        let retry_after_ms = 300;
        limit.apply_answer(1_020, PermitAnswer::Refused { retry_after_ms });
    }
    assert_eq!(limit.wait_ms(1_020), 300);
    assert_eq!(limit.begin_requests(1_319, 3), 0);
    assert_eq!(limit.begin_requests(1_320, 3), 3);
}

/// Guards against the response to a request that was sent before the limit was named, and that comes late.
#[test]
fn only_a_later_request_shows_that_a_limit_has_ended() {
    let mut limit = limited();
    assert!(!limit.record_response(1_100, 950, None));
    assert_eq!(limit.requests_per_1000_s(), Some(LIMIT_PER_1000_S));
    assert!(limit.record_response(1_100, 1_050, None));
    assert_eq!(limit.requests_per_1000_s(), None);
    assert_eq!(limit.own_report(1_150), Some((100, None)));
}

/// Guards against reports of instances that know less than this one, and against a report that goes round
/// and stays new for ever.
#[test]
fn what_other_instances_know_counts_if_it_is_newer() {
    let mut limit = limited();
    assert!(!limit.apply_report(1_500, 600, None));
    assert!(limit.apply_report(1_500, 100, None));
    assert_eq!(limit.own_report(1_500), None);
    let mut unknown = EndpointLimit::default();
    assert!(unknown.apply_report(1_500, 500, Some(LIMIT_PER_1000_S)));
    assert!(!unknown.allows_request(1_500));
    assert_eq!(unknown.own_report(1_500), None);
}

/// Guards against instances that stop, or send as they like, while no registry grants permits.
#[test]
fn without_a_registry_instances_share_the_limit_equally() {
    const INSTANCES: u32 = 9;
    let mut times_ms = Vec::new();
    for instance in 0..u64::from(INSTANCES) {
        let mut limit = limited();
        for now_ms in 1_000..61_000 {
            for _ in 0..limit.begin_requests(now_ms, 2) {
                limit.apply_failure(now_ms, INSTANCES, instance * 613);
            }
            if limit.use_permit(now_ms) {
                times_ms.push(now_ms);
            }
        }
    }
    let in_window = |start: &u64| {
        let window = *start..start + 4_000;
        times_ms.iter().filter(|at| window.contains(at)).count()
    };
    let most = times_ms.iter().map(in_window).max().unwrap();
    assert!(most <= 24, "{most} requests in 4 s of 16");
    assert!(
        times_ms.len() >= 120,
        "{} requests in 60 s of 240",
        times_ms.len()
    );
}
