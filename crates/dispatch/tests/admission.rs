//! Memory, limits and refusals.

mod support;

use dispatch::{Action, EndpointLoad, PermitEnd, RefusalReason};
use support::{Fate, Host, demand, limits, profile};

fn host(memory_tokens: u64) -> Host {
    let mut host = Host::new(5);
    host.announce(0, &profile(memory_tokens, 64));
    host.set_limits(limits(0, 0));
    host
}

fn learn(host: &mut Host, tokens: u32) {
    for _ in 0..60 {
        host.request(&demand(0, 16, 4_000));
        let permit = *host.running.keys().last().expect("it runs");
        host.progress(permit, tokens);
        host.finish(permit, PermitEnd::Completed);
    }
}

fn granted(host: &mut Host) -> usize {
    for _ in 0..64 {
        host.request(&demand(0, 100, 4_000));
    }
    host.running.len()
}

#[test]
fn short_answers_admit_more_than_their_greatest_length_would() {
    let mut short = host(16_000);
    learn(&mut short, 100);
    let mut long = host(16_000);
    learn(&mut long, 2_000);
    let (short, long) = (granted(&mut short), granted(&mut long));
    // Reserving the greatest length would admit 3 of either.
    assert!(short >= 20, "{short}");
    assert!((4..=9).contains(&long), "{long}");
}

#[test]
fn a_generation_that_goes_on_holds_back_others() {
    let mut host = host(6_000);
    learn(&mut host, 100);
    host.request(&demand(0, 100, 4_000));
    let permit = *host.running.keys().next().expect("it runs");
    host.progress(permit, 3_000);
    let before = granted(&mut host);
    host.finish(permit, PermitEnd::Completed);
    assert!(host.running.len() > before + 2, "{before}");
}

#[test]
fn a_slow_engine_runs_fewer_sequences() {
    let mut host = host(1_000_000);
    let slow = EndpointLoad {
        running: 16,
        token_interval_us: 50_000,
        ..EndpointLoad::default()
    };
    for _ in 0..40 {
        host.report(0, &slow);
    }
    assert!(granted(&mut host) <= 15);
}

#[test]
fn the_rate_limit_holds_on_average() {
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
            host.finish(permit, PermitEnd::Completed);
            tokens += 400;
        }
        host.pass_us(1_000_000);
    }
    assert!((18_000..=22_500).contains(&tokens), "{tokens}");
}

#[test]
fn a_wait_that_must_be_too_long_is_refused_at_once() {
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
    assert!(host.waiting() > 0, "the queue is used");
    while let Some(&permit) = host.running.keys().next() {
        host.finish(permit, PermitEnd::Completed);
    }
    let request = host.request(&demand(0, 1_000, 4_000));
    assert!(matches!(host.fates[&request], Fate::Granted(_)), "recovers");
}

#[test]
fn a_request_without_row_room_or_endpoint_is_refused_with_the_reason() {
    let mut host = host(1_000);
    let unknown = host.request(&demand(9, 16, 10));
    assert_eq!(
        host.fates[&unknown],
        Fate::Refused(RefusalReason::UnknownRow)
    );
    let large = host.request(&demand(0, 1_000, 10));
    assert_eq!(host.fates[&large], Fate::Refused(RefusalReason::TooLarge));
    let mut row = limits(0, 0);
    row.queued_max = 0;
    row.running_max = 1;
    host.set_limits(row);
    host.request(&demand(0, 16, 10));
    let second = host.request(&demand(0, 16, 10));
    assert_eq!(host.fates[&second], Fate::Refused(RefusalReason::QueueFull));
    host.leave(0);
    let third = host.request(&demand(0, 16, 10));
    assert_eq!(host.fates[&third], Fate::Refused(RefusalReason::NoEndpoint));
}

#[test]
fn a_request_that_delivered_tokens_never_runs_again() {
    let mut host = host(100_000);
    let request = host.request(&demand(0, 100, 400));
    host.announce(1, &profile(100_000, 64));
    host.pass_us(1_000_000);
    let full = EndpointLoad {
        waiting: 1,
        ..EndpointLoad::default()
    };
    host.report(0, &full);
    let Some(&Action::Cancel { permit }) = host.actions.last() else {
        panic!("nothing is cancelled");
    };
    // The first tokens and the cancellation crossed.
    let running = host.running.get_mut(&permit).expect("it runs");
    running.generated_tokens = 3;
    running.cancelling = false;
    host.finish(permit, PermitEnd::Cancelled);
    assert_eq!(host.fates[&request], Fate::Ended);
    assert_eq!(host.dispatcher.queued_requests(), 0);
    assert_eq!(host.dispatcher.permits().count(), 0);
}

#[test]
fn a_request_held_back_by_an_engine_moves_to_one_with_room() {
    let mut host = host(100_000);
    let request = host.request(&demand(0, 100, 400));
    host.announce(1, &profile(100_000, 64));
    host.pass_us(1_000_000);
    let full = EndpointLoad {
        waiting: 1,
        ..EndpointLoad::default()
    };
    host.report(0, &full);
    let Some(&Action::Cancel { permit }) = host.actions.last() else {
        panic!("nothing is cancelled");
    };
    host.finish(permit, PermitEnd::Cancelled);
    let Fate::Granted(moved) = host.fates[&request] else {
        panic!("it waits again");
    };
    assert_eq!(host.running[&moved].endpoint, names::EndpointId(1));
}
