//! Admission: memory, limits, refusals and cancellations.

mod support;

use dispatch::{Action, EndpointLoad, PermitEnd, RefusalReason};
use support::{Host, RequestState, demand, limits, profile};

fn host(memory_tokens: u64) -> Host {
    let mut host = Host::new(5);
    host.announce(0, &profile(memory_tokens, 64));
    host.set_limits(limits(0, 0));
    host
}

fn learn_length(host: &mut Host, tokens: u32) {
    for _ in 0..60 {
        host.request(&demand(0, 16, 4_000));
        let permit = *host.running.keys().last().expect("the request runs");
        host.progress(permit, tokens);
        host.end_permit(permit, PermitEnd::Completed);
    }
}

/// Sends 64 equal requests and returns the number of running requests.
fn request_64(host: &mut Host) -> usize {
    for _ in 0..64 {
        host.request(&demand(0, 100, 4_000));
    }
    host.running.len()
}

#[test]
fn requests_are_admitted_by_observed_length_and_not_by_max_tokens() {
    let mut short = host(16_000);
    learn_length(&mut short, 100);
    let mut long = host(16_000);
    learn_length(&mut long, 2_000);
    let (short, long) = (request_64(&mut short), request_64(&mut long));
    // Memory reserved for `max_tokens` would admit 3 of either.
    assert!(short >= 20, "{short}");
    assert!((4..=9).contains(&long), "{long}");
}

#[test]
fn a_long_generation_limits_admission_until_it_ends() {
    let mut host = host(6_000);
    learn_length(&mut host, 100);
    host.request(&demand(0, 100, 4_000));
    let permit = *host.running.keys().next().expect("the request runs");
    host.progress(permit, 3_000);
    let running = request_64(&mut host);
    host.end_permit(permit, PermitEnd::Completed);
    assert!(host.running.len() > running + 2, "{running}");
}

#[test]
fn a_long_token_interval_lowers_the_limit_of_sequences() {
    let mut host = host(1_000_000);
    let slow = EndpointLoad {
        running: 16,
        token_interval_us: 50_000,
        ..EndpointLoad::default()
    };
    for _ in 0..40 {
        host.report_load(0, &slow);
    }
    assert!(request_64(&mut host) <= 15);
}

#[test]
fn the_average_rate_of_tokens_stays_within_the_rate_limit() {
    let mut host = host(1_000_000);
    let mut row = limits(0, 0);
    row.tokens_per_second_max = Some(100.0);
    row.queueing_ms_max = 10_000_000;
    host.set_limits(row);
    for _ in 0..500 {
        host.request(&demand(0, 16, 4_000));
    }
    let mut tokens = 0;
    for _ in 0..200 {
        while let Some(&permit) = host.running.keys().next() {
            host.progress(permit, 400);
            host.end_permit(permit, PermitEnd::Completed);
            tokens += 400;
        }
        host.advance_us(1_000_000);
    }
    assert!((18_000..=22_500).contains(&tokens), "{tokens}");
}

#[test]
fn a_request_with_too_long_a_predicted_wait_is_refused_at_once() {
    let mut host = host(100_000);
    let mut row = limits(0, 0);
    row.queueing_ms_max = 5_000;
    host.set_limits(row);
    for _ in 0..200 {
        host.request(&demand(0, 1_000, 4_000));
    }
    let last = host.actions.last();
    let Some(Action::Refuse {
        reason,
        retry_after_ms,
        ..
    }) = last
    else {
        panic!("the last request is not refused: {last:?}");
    };
    assert_eq!(*reason, RefusalReason::Overload);
    assert!((1_000..60_000).contains(retry_after_ms), "{retry_after_ms}");
    assert!(host.waiting() > 0, "requests wait in the queue");
    while let Some(&permit) = host.running.keys().next() {
        host.end_permit(permit, PermitEnd::Completed);
    }
    let request = host.request(&demand(0, 1_000, 4_000));
    assert!(
        matches!(host.request_states[&request], RequestState::Granted(_)),
        "a request is granted after the queue is empty"
    );
}

#[test]
fn a_refusal_gives_its_reason() {
    let mut host = host(1_000);
    let unknown = host.request(&demand(9, 16, 10));
    assert_eq!(
        host.request_states[&unknown],
        RequestState::Refused(RefusalReason::UnknownRow)
    );
    let large = host.request(&demand(0, 1_000, 10));
    assert_eq!(
        host.request_states[&large],
        RequestState::Refused(RefusalReason::TooLarge)
    );
    let mut row = limits(0, 0);
    row.queued_max = 0;
    row.running_max = 1;
    host.set_limits(row);
    host.request(&demand(0, 16, 10));
    let second = host.request(&demand(0, 16, 10));
    assert_eq!(
        host.request_states[&second],
        RequestState::Refused(RefusalReason::QueueFull)
    );
    host.leave(0);
    let third = host.request(&demand(0, 16, 10));
    assert_eq!(
        host.request_states[&third],
        RequestState::Refused(RefusalReason::NoEndpoint)
    );
}

#[test]
fn a_cancelled_request_with_tokens_is_not_queued_again() {
    let mut host = host(100_000);
    let request = host.request(&demand(0, 100, 400));
    host.announce(1, &profile(100_000, 64));
    host.advance_us(1_000_000);
    let queueing = EndpointLoad {
        waiting: 1,
        ..EndpointLoad::default()
    };
    host.report_load(0, &queueing);
    let Some(&Action::Cancel { permit }) = host.actions.last() else {
        panic!("the permit is not cancelled");
    };
    // The engine generates its first tokens while the cancellation is in flight.
    let running = host.running.get_mut(&permit).expect("the request runs");
    running.generated_tokens = 3;
    running.is_cancelling = false;
    host.end_permit(permit, PermitEnd::Cancelled);
    assert_eq!(host.request_states[&request], RequestState::Ended);
    assert_eq!(host.dispatcher.queued_requests(), 0);
    assert_eq!(host.dispatcher.permits().count(), 0);
}

#[test]
fn a_request_in_an_engines_queue_is_cancelled_and_granted_elsewhere() {
    let mut host = host(100_000);
    let request = host.request(&demand(0, 100, 400));
    host.announce(1, &profile(100_000, 64));
    host.advance_us(1_000_000);
    let queueing = EndpointLoad {
        waiting: 1,
        ..EndpointLoad::default()
    };
    host.report_load(0, &queueing);
    let Some(&Action::Cancel { permit }) = host.actions.last() else {
        panic!("the permit is not cancelled");
    };
    host.end_permit(permit, PermitEnd::Cancelled);
    let RequestState::Granted(permit) = host.request_states[&request] else {
        panic!("the request is not granted again");
    };
    assert_eq!(host.running[&permit].endpoint, names::EndpointId(1));
}
