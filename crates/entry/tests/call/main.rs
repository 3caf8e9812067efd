//! Checks the state machine of generation calls, also under random orders of events.

mod kept;
mod simulation;

use std::ops::Range;

use entry::core::{
    CallFailure, FailureCause, FailurePoint, FinishReason, GenerationAction, GenerationEvent,
    GenerationStatus, Outcome, ResponseMode,
};
use entry::dependencies::{PermitEnd, Refusal, RefusalReason};
use names::GenerationId;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use simulation::{ActionCounts, DEADLINE_US, STALL_TIMEOUTS, Simulation, Step, simulate};

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn invariants_hold(is_stream: bool, seed: u64, steps: Vec<Step>) -> bool {
    let mode = if is_stream {
        ResponseMode::Stream
    } else {
        ResponseMode::Buffered
    };
    let simulation = simulate(mode, seed, &steps);
    assert_eq!(
        simulation.final_responses, 1,
        "the client gets no final response"
    );
    assert_eq!(simulation.held_permits, 0, "a permit is still held");
    true
}

#[test]
fn invariants_hold_under_random_orders_of_events() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(20_000)
        .quickcheck(invariants_hold as fn(bool, u64, Vec<Step>) -> bool);
}

#[test]
fn each_kind_of_end_occurs_often_in_random_simulations() {
    let mut g = Gen::from_size_and_seed(200, 42);
    let mut total = ActionCounts::default();
    for seed in 0..20_000 {
        let mode = if seed % 2 == 0 {
            ResponseMode::Stream
        } else {
            ResponseMode::Buffered
        };
        let counts = simulate(mode, seed, &Vec::arbitrary(&mut g)).counts;
        total.completed += counts.completed;
        total.failed_with_tokens += counts.failed_with_tokens;
        total.failed_without_tokens += counts.failed_without_tokens;
        total.refused += counts.refused;
        total.completed_after_restart += counts.completed_after_restart;
        total.completed_after_resume += counts.completed_after_resume;
        total.completed_after_reinstatement += counts.completed_after_reinstatement;
        total.reinstatements += counts.reinstatements;
        total.restarts += counts.restarts;
        total.resumes += counts.resumes;
    }
    println!("{total:?}");
    for count in [
        total.completed,
        total.failed_with_tokens,
        total.failed_without_tokens,
        total.refused,
        total.completed_after_restart,
        total.completed_after_resume,
        total.completed_after_reinstatement,
    ] {
        assert!(count > 500, "one kind of end occurs too rarely: {total:?}");
    }
}

/// Creates a simulation with an open stream and the given tokens delivered.
fn start_stream(mode: ResponseMode, tokens: Range<u32>) -> Simulation {
    let mut simulation = Simulation::new(mode, 3);
    simulation.started_generations = 1;
    simulation.held_permits = 1;
    let generation = simulation.current_generation();
    simulation.handle(GenerationEvent::PermitGranted {
        generation,
        stall_timeouts: STALL_TIMEOUTS,
    });
    simulation.mark_sent();
    simulation.handle(GenerationEvent::StreamOpened { generation });
    for index in tokens {
        simulation.handle(GenerationEvent::Token { generation, index });
    }
    simulation
}

/// Handles an event without performing the actions, and returns them.
fn actions_after(simulation: &mut Simulation, event: GenerationEvent) -> Vec<GenerationAction> {
    let mut actions = Vec::new();
    simulation
        .call
        .handle(simulation.now_us, event, &mut actions);
    actions
}

#[test]
fn stream_with_delivered_tokens_is_resumed_at_the_next_index() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    let generation = simulation.current_generation();
    let point = FailurePoint::Body;
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::ConnectionFailed { generation, point },
    );
    assert_eq!(actions, [GenerationAction::CloseConnection]);
    simulation.now_us = simulation.call.next_tick_us();
    let actions = actions_after(&mut simulation, GenerationEvent::Tick);
    let from = 3;
    assert_eq!(actions, [GenerationAction::Resume { from, generation }]);
}

#[test]
fn lost_generation_with_delivered_tokens_fails_with_their_count() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    let generation = simulation.current_generation();
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::GenerationNotFound { generation },
    );
    let failure = actions.last();
    assert!(matches!(
        failure,
        Some(GenerationAction::Fail(CallFailure {
            cause: FailureCause::GenerationLost,
            delivered_tokens: 3,
            outcome: Outcome::Ran,
            ..
        }))
    ));
}

#[test]
fn buffered_response_is_restarted_after_its_generation_is_lost() {
    let mut simulation = start_stream(ResponseMode::Buffered, 0..3);
    let generation = simulation.current_generation();
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::GenerationNotFound { generation },
    );
    assert!(actions.contains(&GenerationAction::Cancel { generation }));
    assert!(actions.contains(&GenerationAction::DiscardTokens));
    assert_eq!(actions.last(), Some(&GenerationAction::RequestRetry));
    let actions = actions_after(&mut simulation, GenerationEvent::BudgetGranted);
    assert_eq!(actions, [GenerationAction::AcquirePermit]);
}

#[test]
fn revoked_permit_is_replaced_only_before_the_first_token() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    let actions = actions_after(&mut simulation, GenerationEvent::PermitRevoked);
    let keep = GenerationAction::Keep {
        generation: FIRST,
        has_stalled: false,
    };
    assert_eq!(actions, [keep, GenerationAction::AcquirePermit]);
    let mut simulation = start_stream(ResponseMode::Stream, 0..1);
    assert_eq!(
        actions_after(&mut simulation, GenerationEvent::PermitRevoked),
        []
    );
}

#[test]
fn preempted_generation_is_not_stalled_while_its_engine_reports() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..2);
    let generation = simulation.current_generation();
    let status = GenerationStatus::Preempted;
    for _ in 0..20 {
        simulation.now_us += 500_000;
        assert_eq!(
            actions_after(
                &mut simulation,
                GenerationEvent::Status { generation, status }
            ),
            []
        );
        assert_eq!(actions_after(&mut simulation, GenerationEvent::Tick), []);
    }
    simulation.now_us += STALL_TIMEOUTS.silence_us;
    assert_eq!(
        actions_after(&mut simulation, GenerationEvent::Tick),
        [GenerationAction::Resume {
            from: 2,
            generation
        }]
    );
}

#[test]
fn running_generation_without_tokens_is_stalled() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..2);
    let generation = simulation.current_generation();
    let status = GenerationStatus::Running;
    let mut actions = Vec::new();
    while actions.is_empty() {
        simulation.now_us += 500_000;
        let _ = actions_after(
            &mut simulation,
            GenerationEvent::Status { generation, status },
        );
        actions = actions_after(&mut simulation, GenerationEvent::Tick);
    }
    assert_eq!(simulation.now_us, STALL_TIMEOUTS.progress_us);
    let from = 2;
    assert_eq!(actions, [GenerationAction::Resume { from, generation }]);
}

#[test]
fn consecutive_resumes_without_tokens_are_limited() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..2);
    let generation = simulation.current_generation();
    let point = FailurePoint::Connect;
    let mut resumes = 0;
    loop {
        let actions = actions_after(
            &mut simulation,
            GenerationEvent::ConnectionFailed { generation, point },
        );
        if let Some(GenerationAction::Fail(failure)) = actions.last() {
            assert_eq!(failure.outcome, Outcome::Ran);
            break;
        }
        simulation.now_us = simulation.call.next_tick_us();
        resumes += actions_after(&mut simulation, GenerationEvent::Tick).len();
    }
    assert_eq!(resumes, 6);
}

#[test]
fn call_whose_resume_would_pass_the_deadline_fails_at_once() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..2);
    let generation = simulation.current_generation();
    simulation.now_us = DEADLINE_US - 1;
    let point = FailurePoint::Body;
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::ConnectionFailed { generation, point },
    );
    assert!(matches!(actions.last(), Some(GenerationAction::Fail(_))));
}

const FIRST: GenerationId = GenerationId(1);

const SECOND: GenerationId = GenerationId(2);

const REFUSAL: GenerationEvent = GenerationEvent::PermitRefused(Refusal {
    reason: RefusalReason::NoOwner,
    retry_after_ms: 5,
});

const GRANT_OF_SECOND: GenerationEvent = GenerationEvent::PermitGranted {
    generation: SECOND,
    stall_timeouts: STALL_TIMEOUTS,
};

/// Ticks when the stream counts as stalled, and returns the actions.
fn actions_after_silence(simulation: &mut Simulation) -> Vec<GenerationAction> {
    simulation.now_us = simulation.call.next_tick_us();
    actions_after(simulation, GenerationEvent::Tick)
}

/// Whether an action ends the generation, its connection or its permit.
fn ends_generation(action: &GenerationAction) -> bool {
    matches!(
        action,
        GenerationAction::Cancel { .. }
            | GenerationAction::CloseConnection
            | GenerationAction::Fail(_)
            | GenerationAction::Refuse(_)
            | GenerationAction::ReleasePermit { .. }
    )
}

fn is_kept(actions: &[GenerationAction]) -> bool {
    !actions.iter().any(ends_generation)
}

/// Checks that the first generation sends its token `index` and its end to the client.
fn assert_first_completes(simulation: &mut Simulation, index: u32) {
    let generation = FIRST;
    let token = GenerationEvent::Token { generation, index };
    let actions = actions_after(simulation, token);
    assert_eq!(
        actions.last(),
        Some(&GenerationAction::Deliver { generation, index })
    );
    let tokens = index + 1;
    let reason = FinishReason::Stop;
    let end = GenerationEvent::GenerationEnded {
        generation,
        reason,
        tokens,
    };
    let actions = actions_after(simulation, end);
    assert_eq!(
        actions.last(),
        Some(&GenerationAction::Complete { reason, tokens })
    );
}

/// Guards against a late answer that is lost because the retry budget is spent.
#[test]
fn silent_generation_completes_although_no_retry_is_allowed() {
    for mode in [ResponseMode::Buffered, ResponseMode::Stream] {
        let mut simulation = start_stream(mode, 0..0);
        let actions = actions_after_silence(&mut simulation);
        assert!(is_kept(&actions), "{actions:?}");
        let denied = GenerationEvent::BudgetDenied { retry_after_ms: 7 };
        assert!(is_kept(&actions_after(&mut simulation, denied)));
        assert_first_completes(&mut simulation, 0);
    }
}

/// Guards against a late answer that is lost because no other endpoint has capacity.
#[test]
fn silent_generation_completes_although_its_replacement_is_refused() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    actions_after_silence(&mut simulation);
    let actions = actions_after(&mut simulation, GenerationEvent::BudgetGranted);
    assert_eq!(actions, [GenerationAction::AcquirePermit]);
    let actions = actions_after(&mut simulation, REFUSAL);
    assert!(is_kept(&actions), "{actions:?}");
    assert_first_completes(&mut simulation, 0);
}

/// Guards against a late answer that is lost because the other endpoint cannot be reached.
#[test]
fn silent_generation_completes_although_its_replacement_fails() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    actions_after_silence(&mut simulation);
    actions_after(&mut simulation, GenerationEvent::BudgetGranted);
    actions_after(&mut simulation, GRANT_OF_SECOND);
    let failed = GenerationEvent::ConnectionFailed {
        generation: SECOND,
        point: FailurePoint::Connect,
    };
    let actions = actions_after(&mut simulation, failed);
    assert_eq!(actions.last(), Some(&GenerationAction::RequestRetry));
    assert!(!actions.contains(&GenerationAction::Cancel { generation: FIRST }));
    let denied = GenerationEvent::BudgetDenied { retry_after_ms: 7 };
    assert!(is_kept(&actions_after(&mut simulation, denied)));
    assert_first_completes(&mut simulation, 0);
}

/// Guards against a generation that is cancelled before its replacement has answered.
#[test]
fn silent_generation_is_kept_until_its_replacement_opens() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    let mut actions = actions_after_silence(&mut simulation);
    actions.extend(actions_after(
        &mut simulation,
        GenerationEvent::BudgetGranted,
    ));
    actions.extend(actions_after(&mut simulation, GRANT_OF_SECOND));
    assert!(is_kept(&actions), "{actions:?}");
    let generation = SECOND;
    let opened = GenerationEvent::StreamOpened { generation };
    assert!(!is_kept(&actions_after(&mut simulation, opened)));
    let index = 0;
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::Token { generation, index },
    );
    assert_eq!(actions, [GenerationAction::Deliver { generation, index }]);
}

/// Guards against an answer that is dropped in favour of a replacement which has not opened.
#[test]
fn silent_generation_completes_if_it_continues_before_its_replacement_opens() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    actions_after_silence(&mut simulation);
    actions_after(&mut simulation, GenerationEvent::BudgetGranted);
    actions_after(&mut simulation, GRANT_OF_SECOND);
    assert_first_completes(&mut simulation, 0);
}

/// Guards against a call that fails long before its deadline because no replacement is granted.
#[test]
fn silent_generation_without_a_replacement_fails_at_the_deadline() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    while !simulation.call.is_finished() {
        let mut actions = actions_after_silence(&mut simulation);
        if actions.last() == Some(&GenerationAction::RequestRetry) {
            let denied = GenerationEvent::BudgetDenied { retry_after_ms: 7 };
            actions = actions_after(&mut simulation, denied);
        }
        if simulation.call.is_finished() {
            assert!(matches!(
                actions.last(),
                Some(GenerationAction::Fail(CallFailure {
                    cause: FailureCause::Deadline,
                    ..
                }))
            ));
        }
    }
    assert_eq!(simulation.now_us, DEADLINE_US);
}

/// Guards against a generation that is lost because no other endpoint has capacity for it.
#[test]
fn revoked_generation_completes_although_no_other_permit_is_granted() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    let actions = actions_after(&mut simulation, GenerationEvent::PermitRevoked);
    assert!(is_kept(&actions), "{actions:?}");
    assert!(is_kept(&actions_after(&mut simulation, REFUSAL)));
    assert_first_completes(&mut simulation, 0);
}

/// Guards against a generation that is cancelled although it begins while a permit is awaited.
#[test]
fn revoked_generation_completes_if_it_continues_before_another_permit_is_granted() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    actions_after(&mut simulation, GenerationEvent::PermitRevoked);
    assert_first_completes(&mut simulation, 0);
}

/// Guards against a revoked permit that is kept, or reported as failed, once another one is in use.
#[test]
fn revoked_permit_is_released_when_another_generation_opens() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..0);
    actions_after(&mut simulation, GenerationEvent::PermitRevoked);
    actions_after(&mut simulation, GRANT_OF_SECOND);
    let generation = SECOND;
    let opened = GenerationEvent::StreamOpened { generation };
    let cancel = GenerationAction::Cancel { generation: FIRST };
    let stop = GenerationAction::StopKept {
        end: PermitEnd::Cancelled,
        generation: FIRST,
        tokens: 0,
    };
    assert_eq!(actions_after(&mut simulation, opened), [cancel, stop]);
}

/// Guards against a revocation without effect because the engine opens the stream of a generation
/// that waits in its queue.
#[test]
fn revoked_generation_without_a_token_is_replaced_although_its_stream_opens() {
    let mut simulation = Simulation::new(ResponseMode::Stream, 3);
    let generation = FIRST;
    let granted = GenerationEvent::PermitGranted {
        generation,
        stall_timeouts: STALL_TIMEOUTS,
    };
    actions_after(&mut simulation, granted);
    actions_after(&mut simulation, GenerationEvent::PermitRevoked);
    let opened = GenerationEvent::StreamOpened { generation };
    assert_eq!(actions_after(&mut simulation, opened), []);
    let actions = actions_after(&mut simulation, GRANT_OF_SECOND);
    let generation = SECOND;
    assert_eq!(actions, [GenerationAction::Start { generation }]);
}

/// Guards against the cancellation of another request's generation, whose id a kept one was given.
#[test]
fn kept_generation_whose_id_is_in_use_is_not_cancelled() {
    let mut simulation = Simulation::new(ResponseMode::Stream, 3);
    let generation = FIRST;
    let granted = GenerationEvent::PermitGranted {
        generation,
        stall_timeouts: STALL_TIMEOUTS,
    };
    actions_after(&mut simulation, granted);
    actions_after_silence(&mut simulation);
    let in_use = GenerationEvent::IdInUse { generation };
    let stop = GenerationAction::StopKept {
        end: PermitEnd::Failed,
        generation,
        tokens: 0,
    };
    assert_eq!(actions_after(&mut simulation, in_use), [stop]);
}

/// Guards against a stream that is cut long before its deadline because its engine is silent.
#[test]
fn silent_stream_with_delivered_tokens_is_kept_until_the_deadline() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    loop {
        let actions = actions_after_silence(&mut simulation);
        if simulation.now_us == DEADLINE_US {
            assert!(simulation.call.is_finished());
            return;
        }
        assert!(is_kept(&actions), "{actions:?}");
    }
}

/// Guards against a stream whose pause is cut although the engine continues it.
#[test]
fn silent_stream_completes_if_it_continues_before_its_resume_opens() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    actions_after_silence(&mut simulation);
    assert_first_completes(&mut simulation, 3);
}

/// Guards against tokens that are lost or repeated when a resume takes over a silent stream.
#[test]
fn silent_stream_is_left_when_its_resume_opens() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    let from = 3;
    let generation = FIRST;
    let resume = GenerationAction::Resume { from, generation };
    assert_eq!(actions_after_silence(&mut simulation), [resume]);
    let opened = GenerationEvent::StreamOpened { generation };
    assert_eq!(actions_after(&mut simulation, opened), []);
    assert_first_completes(&mut simulation, 3);
}

/// Guards against a stream that is cut because its resume fails although the engine continues it.
#[test]
fn silent_stream_completes_although_its_resumes_fail() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    let generation = FIRST;
    for _ in 0..10 {
        let actions = actions_after_silence(&mut simulation);
        let from = 3;
        assert_eq!(actions, [GenerationAction::Resume { from, generation }]);
        let failed = GenerationEvent::ResumeFailed { generation };
        let actions = actions_after(&mut simulation, failed);
        assert_eq!(actions, [GenerationAction::AbandonResume]);
    }
    assert_first_completes(&mut simulation, 3);
}

/// Guards against a resume that is given up because the silent stream fails meanwhile.
#[test]
fn silent_stream_that_fails_is_continued_by_its_resume() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    actions_after_silence(&mut simulation);
    let generation = FIRST;
    let point = FailurePoint::Body;
    let actions = actions_after(
        &mut simulation,
        GenerationEvent::ConnectionFailed { generation, point },
    );
    assert_eq!(actions, [GenerationAction::CloseSilentStream]);
    let opened = GenerationEvent::StreamOpened { generation };
    assert_eq!(actions_after(&mut simulation, opened), []);
    assert_first_completes(&mut simulation, 3);
}

/// Guards against a slow engine whose resumes are all given up before they open.
#[test]
fn resumes_beside_a_silent_stream_have_ever_more_time_to_open() {
    let mut simulation = start_stream(ResponseMode::Stream, 0..3);
    let mut waits_us = Vec::new();
    while !simulation.call.is_finished() {
        let before_us = simulation.now_us;
        actions_after_silence(&mut simulation);
        waits_us.push(simulation.now_us - before_us);
    }
    let open_timeout_us = STALL_TIMEOUTS.silence_us + 1_000_000;
    // The first tick ends the silence; the deadline cuts the last time short.
    assert_eq!(waits_us[0], STALL_TIMEOUTS.silence_us);
    assert_eq!(waits_us[1..8], [open_timeout_us; 7]);
    assert_eq!(waits_us[8..], [2 * open_timeout_us, 1_000_000]);
}
