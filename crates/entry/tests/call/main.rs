//! The core of generation calls, under any order of events.

mod bench;

use std::ops::Range;

use bench::{Bench, Counts, DEADLINE_US, PATIENCE, Step, play};

use entry::core::{
    Cause, Failure, FailurePoint, GenerationAction, GenerationEvent, GenerationStatus, Outcome,
    ResponseMode,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values")]
fn promises_hold(is_stream: bool, seed: u64, steps: Vec<Step>) -> bool {
    let mode = if is_stream {
        ResponseMode::Stream
    } else {
        ResponseMode::Whole
    };
    let bench = play(mode, seed, &steps);
    assert_eq!(bench.final_answers, 1, "the caller gets no final answer");
    assert_eq!(bench.permits, 0, "a permit is kept");
    true
}

#[test]
fn every_promise_holds_under_any_order_of_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(20_000)
        .quickcheck(promises_hold as fn(bool, u64, Vec<Step>) -> bool);
}

#[test]
fn a_long_random_run_meets_every_kind_of_end() {
    let mut g = Gen::from_size_and_seed(200, 42);
    let mut total = Counts::default();
    for seed in 0..20_000 {
        let mode = if seed % 2 == 0 {
            ResponseMode::Stream
        } else {
            ResponseMode::Whole
        };
        let counts = play(mode, seed, &Vec::arbitrary(&mut g)).counts;
        total.completed += counts.completed;
        total.failed_with_tokens += counts.failed_with_tokens;
        total.failed_without_tokens += counts.failed_without_tokens;
        total.refused += counts.refused;
        total.rescued_by_restart += counts.rescued_by_restart;
        total.rescued_by_resume += counts.rescued_by_resume;
        total.restarts += counts.restarts;
        total.resumes += counts.resumes;
    }
    println!("{total:?}");
    for count in [
        total.completed,
        total.failed_with_tokens,
        total.failed_without_tokens,
        total.refused,
        total.rescued_by_restart,
        total.rescued_by_resume,
    ] {
        assert!(
            count > 500,
            "the run meets too few ends of a kind: {total:?}"
        );
    }
}

/// Call with an open stream and some tokens delivered.
fn streaming(mode: ResponseMode, tokens: Range<u32>) -> Bench {
    let mut bench = Bench::new(mode, 3);
    bench.started = 1;
    bench.permits = 1;
    let generation = bench.current();
    bench.event(GenerationEvent::PermitGranted {
        generation,
        stall_timeouts: PATIENCE,
    });
    bench.sent();
    bench.event(GenerationEvent::StreamOpened { generation });
    for index in tokens {
        bench.event(GenerationEvent::Token { generation, index });
    }
    bench
}

/// Handles an event and returns the actions that follow.
fn answer(bench: &mut Bench, event: GenerationEvent) -> Vec<GenerationAction> {
    let mut actions = Vec::new();
    bench.call.handle(bench.now_us, event, &mut actions);
    actions
}

#[test]
fn a_stream_with_tokens_goes_on_only_by_a_resume_at_the_next_index() {
    let mut bench = streaming(ResponseMode::Stream, 0..3);
    let generation = bench.current();
    let point = FailurePoint::Body;
    let actions = answer(
        &mut bench,
        GenerationEvent::ConnectionFailed { generation, point },
    );
    assert_eq!(actions, [GenerationAction::CloseConnection]);
    bench.now_us = bench.call.next_tick_us();
    let actions = answer(&mut bench, GenerationEvent::Tick);
    let from = 3;
    assert_eq!(actions, [GenerationAction::Resume { from, generation }]);
}

#[test]
fn a_lost_generation_with_tokens_ends_at_once_with_the_delivered_count() {
    let mut bench = streaming(ResponseMode::Stream, 0..3);
    let generation = bench.current();
    let actions = answer(
        &mut bench,
        GenerationEvent::GenerationNotFound { generation },
    );
    let failure = actions.last();
    assert!(matches!(
        failure,
        Some(GenerationAction::Fail(Failure {
            cause: Cause::GenerationLost,
            delivered_tokens: 3,
            outcome: Outcome::Ran,
            ..
        }))
    ));
}

#[test]
fn a_whole_answer_starts_again_after_its_generation_is_lost() {
    let mut bench = streaming(ResponseMode::Whole, 0..3);
    let generation = bench.current();
    let actions = answer(
        &mut bench,
        GenerationEvent::GenerationNotFound { generation },
    );
    assert!(actions.contains(&GenerationAction::Cancel { generation }));
    assert!(actions.contains(&GenerationAction::DiscardTokens));
    assert_eq!(actions.last(), Some(&GenerationAction::RequestRetry));
    let actions = answer(&mut bench, GenerationEvent::BudgetGranted);
    assert_eq!(actions, [GenerationAction::AcquirePermit]);
}

#[test]
fn a_revoked_permit_is_given_up_only_before_the_first_token() {
    let mut bench = streaming(ResponseMode::Stream, 0..0);
    let actions = answer(&mut bench, GenerationEvent::PermitRevoked);
    assert_eq!(actions.last(), Some(&GenerationAction::AcquirePermit));
    let mut bench = streaming(ResponseMode::Stream, 0..1);
    assert_eq!(answer(&mut bench, GenerationEvent::PermitRevoked), []);
}

#[test]
fn a_preempted_generation_is_waited_for_while_its_engine_reports() {
    let mut bench = streaming(ResponseMode::Stream, 0..2);
    let generation = bench.current();
    let status = GenerationStatus::Preempted;
    for _ in 0..20 {
        bench.now_us += 500_000;
        assert_eq!(
            answer(&mut bench, GenerationEvent::Status { generation, status }),
            []
        );
        assert_eq!(answer(&mut bench, GenerationEvent::Tick), []);
    }
    bench.now_us += PATIENCE.silence_us;
    assert_eq!(
        answer(&mut bench, GenerationEvent::Tick),
        [GenerationAction::CloseConnection]
    );
}

#[test]
fn an_engine_that_reports_running_without_tokens_counts_as_stalled() {
    let mut bench = streaming(ResponseMode::Stream, 0..2);
    let generation = bench.current();
    let status = GenerationStatus::Running;
    let mut actions = Vec::new();
    while actions.is_empty() {
        bench.now_us += 500_000;
        let _ = answer(&mut bench, GenerationEvent::Status { generation, status });
        actions = answer(&mut bench, GenerationEvent::Tick);
    }
    assert_eq!(bench.now_us, PATIENCE.progress_us);
    assert_eq!(actions, [GenerationAction::CloseConnection]);
}

#[test]
fn resumes_that_bring_no_token_are_bounded() {
    let mut bench = streaming(ResponseMode::Stream, 0..2);
    let generation = bench.current();
    let point = FailurePoint::Connect;
    let mut resumes = 0;
    loop {
        let actions = answer(
            &mut bench,
            GenerationEvent::ConnectionFailed { generation, point },
        );
        if let Some(GenerationAction::Fail(failure)) = actions.last() {
            assert_eq!(failure.outcome, Outcome::Ran);
            break;
        }
        bench.now_us = bench.call.next_tick_us();
        resumes += answer(&mut bench, GenerationEvent::Tick).len();
    }
    assert_eq!(resumes, 6);
}

#[test]
fn a_wait_that_would_pass_the_deadline_ends_the_call_at_once() {
    let mut bench = streaming(ResponseMode::Stream, 0..2);
    let generation = bench.current();
    bench.now_us = DEADLINE_US - 1;
    let point = FailurePoint::Body;
    let actions = answer(
        &mut bench,
        GenerationEvent::ConnectionFailed { generation, point },
    );
    assert!(matches!(actions.last(), Some(GenerationAction::Fail(_))));
}
