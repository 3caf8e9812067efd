//! One generation call.
//!
//! While the caller has no token, a failed generation is cancelled and another is started, by a new
//! permit and within the budgets of retries. Once a streaming caller has a token, only the same
//! generation may go on: the link is opened again at the next index, a bounded number of times. A
//! whole answer is held until it is complete, so it is resumed first and then started again.
//!
//! Resuming takes nothing from the budgets: it asks the engine for work that is already done. Each
//! wait that would pass the deadline ends the call at once instead.

mod connection;

use names::GenerationId;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use crate::core::sequence::{ConnectionState, Sequence};
use crate::core::{
    Backoff, Cause, Failure, FailurePoint, GenerationAction, GenerationEvent, Outcome,
    StallTimeouts,
};
use crate::dependencies::{PermitEnd, Refusal, RefusalReason};

/// First bound of the delay before a resume.
const RESUME_BASE_US: u64 = 50_000;

/// Last bound of the delay before a resume.
const RESUME_MAX_US: u64 = 2_000_000;

/// Most resumes in a row that bring no token.
const RESUMES_MAX: u32 = 6;

/// First bound of the delay before a restart.
const RESTART_BASE_US: u64 = 20_000;

/// Last bound of the delay before a restart.
const RESTART_MAX_US: u64 = 2_000_000;

/// When a failed request may be repeated, where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// How the caller wants the answer.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ResponseMode {
    /// Token by token.
    Stream,
    /// In one piece.
    Whole,
}

/// State machine of one generation call.
#[derive(Debug)]
pub struct GenerationCall {
    /// Why the last attempt failed.
    cause: Cause,
    deadline_us: u64,
    /// Tokens that reached the caller.
    delivered: u32,
    mode: ResponseMode,
    /// Worst outcome of the attempts that are over.
    outcome: Outcome,
    restarts: Backoff,
    resumes: Backoff,
    state: State,
}

#[derive(Debug)]
enum State {
    /// Waits for the budgets' answer.
    Asking,
    Over,
    /// Waits before it asks for another permit.
    Pausing {
        until_us: u64,
    },
    /// Waits for a permit.
    Queued,
    Running(Sequence),
}

impl GenerationCall {
    /// Takes an event and appends what follows from it.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) {
        match event {
            GenerationEvent::Token { generation, index } => {
                self.token(now_us, generation, index, actions);
            }
            GenerationEvent::BudgetDenied { retry_after_ms } => {
                self.budget_denied(retry_after_ms, actions);
            }
            GenerationEvent::BudgetGranted => self.budget_granted(now_us, actions),
            GenerationEvent::ClientDisconnected => self.caller_gone(actions),
            GenerationEvent::PermitGranted {
                generation,
                stall_timeouts,
            } => self.granted(now_us, generation, stall_timeouts, actions),
            GenerationEvent::PermitRefused(refusal) => self.refused(refusal, actions),
            GenerationEvent::PermitRevoked => self.revoked(actions),
            GenerationEvent::Tick => self.tick(now_us, actions),
            GenerationEvent::GenerationEnded {
                end,
                generation,
                tokens,
            } => self.ended(now_us, generation, end, tokens, actions),
            GenerationEvent::IdInUse { generation }
            | GenerationEvent::ConnectionFailed { generation, .. }
            | GenerationEvent::GenerationNotFound { generation }
            | GenerationEvent::MalformedResponse { generation }
            | GenerationEvent::NotRun { generation, .. }
            | GenerationEvent::StreamOpened { generation }
            | GenerationEvent::Rejected { generation, .. }
            | GenerationEvent::Status { generation, .. } => {
                if self.has_connection(generation) {
                    self.connection_event(now_us, event, actions);
                }
            }
        }
    }

    /// Whether the caller has its final answer or is gone.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Starts a call; asks for its first permit.
    #[must_use]
    pub fn open(
        mode: ResponseMode,
        deadline_us: u64,
        seed: u64,
        actions: &mut Vec<GenerationAction>,
    ) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let restarts = Backoff::new(RESTART_BASE_US, RESTART_MAX_US, random.clone());
        random.jump();
        actions.push(GenerationAction::AcquirePermit);
        Self {
            cause: Cause::ConnectionFailed,
            deadline_us,
            delivered: 0,
            mode,
            outcome: Outcome::NotRun,
            restarts,
            resumes: Backoff::new(RESUME_BASE_US, RESUME_MAX_US, random),
            state: State::Queued,
        }
    }

    /// When the call next wants a tick.
    #[must_use]
    pub fn wake_us(&self) -> u64 {
        let wake_us = match &self.state {
            State::Asking | State::Queued => self.deadline_us,
            State::Over => u64::MAX,
            State::Pausing { until_us } => *until_us,
            State::Running(sequence) => sequence.wake_us(),
        };
        wake_us.min(self.deadline_us)
    }

    fn budget_denied(&mut self, retry_after_ms: u64, actions: &mut Vec<GenerationAction>) {
        if !matches!(self.state, State::Asking) {
            return;
        }
        if self.outcome == Outcome::NotRun {
            self.refuse(RefusalReason::RetryBudget, retry_after_ms, actions);
        } else {
            self.fail(self.cause, retry_after_ms, actions);
        }
    }

    fn budget_granted(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if !matches!(self.state, State::Asking) {
            return;
        }
        let first = self.restarts.attempt() == 0;
        let delay_us = self.restarts.delay_us();
        if first {
            self.state = State::Queued;
            actions.push(GenerationAction::AcquirePermit);
            return;
        }
        let until_us = now_us + delay_us;
        if until_us < self.deadline_us {
            self.state = State::Pausing { until_us };
        } else if self.outcome == Outcome::NotRun {
            self.refuse(RefusalReason::WaitedTooLong, RETRY_AFTER_MS, actions);
        } else {
            self.fail(self.cause, RETRY_AFTER_MS, actions);
        }
    }

    fn caller_gone(&mut self, actions: &mut Vec<GenerationAction>) {
        if let State::Running(sequence) = &self.state {
            stop(sequence, Outcome::Ran, PermitEnd::Cancelled, actions);
        }
        self.state = State::Over;
    }

    fn fail(&mut self, cause: Cause, retry_after_ms: u64, actions: &mut Vec<GenerationAction>) {
        self.state = State::Over;
        actions.push(GenerationAction::Fail(Failure {
            cause,
            delivered_tokens: self.delivered,
            outcome: self.outcome,
            retry_after_ms,
        }));
    }

    fn granted(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        stall_timeouts: StallTimeouts,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !matches!(self.state, State::Queued) {
            return;
        }
        self.resumes.reset();
        self.state = State::Running(Sequence::new(now_us, generation, stall_timeouts));
        actions.push(GenerationAction::Start { generation });
    }

    fn refuse(
        &mut self,
        reason: RefusalReason,
        retry_after_ms: u64,
        actions: &mut Vec<GenerationAction>,
    ) {
        assert_eq!(
            (self.outcome, self.delivered),
            (Outcome::NotRun, 0),
            "a request that may have run would be refused as not run"
        );
        self.state = State::Over;
        actions.push(GenerationAction::Refuse(Refusal {
            reason,
            retry_after_ms,
        }));
    }

    fn refused(&mut self, refusal: Refusal, actions: &mut Vec<GenerationAction>) {
        if !matches!(self.state, State::Queued) {
            return;
        }
        if self.outcome == Outcome::NotRun {
            self.refuse(refusal.reason, refusal.retry_after_ms, actions);
        } else {
            self.fail(self.cause, refusal.retry_after_ms, actions);
        }
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if now_us >= self.deadline_us {
            self.time_out(actions);
            return;
        }
        match &mut self.state {
            State::Asking | State::Over | State::Queued => {}
            State::Pausing { until_us } => {
                if now_us >= *until_us {
                    self.state = State::Queued;
                    actions.push(GenerationAction::AcquirePermit);
                }
            }
            State::Running(sequence) => {
                if now_us < sequence.wake_us() {
                    return;
                }
                if matches!(sequence.connection, ConnectionState::Closed { .. }) {
                    sequence.set_connection(now_us, ConnectionState::Opening);
                    actions.push(GenerationAction::Resume {
                        from: sequence.received,
                        generation: sequence.generation,
                    });
                } else {
                    self.connection_lost(now_us, FailurePoint::Written, Cause::Stalled, actions);
                }
            }
        }
    }

    fn time_out(&mut self, actions: &mut Vec<GenerationAction>) {
        match &self.state {
            State::Over => return,
            State::Running(sequence) => {
                let outcome = Self::attempt_outcome(sequence, FailurePoint::Written);
                self.outcome = self.outcome.max(outcome);
                stop(sequence, outcome, PermitEnd::Cancelled, actions);
            }
            State::Asking | State::Pausing { .. } | State::Queued => {}
        }
        if self.outcome == Outcome::NotRun {
            self.refuse(RefusalReason::WaitedTooLong, RETRY_AFTER_MS, actions);
        } else {
            self.fail(Cause::Deadline, RETRY_AFTER_MS, actions);
        }
    }
}

/// Stops a generation on its engine and ends its permit.
fn stop(
    sequence: &Sequence,
    outcome: Outcome,
    end: PermitEnd,
    actions: &mut Vec<GenerationAction>,
) {
    actions.push(GenerationAction::CloseConnection);
    if outcome != Outcome::NotRun {
        actions.push(GenerationAction::Cancel {
            generation: sequence.generation,
        });
    }
    actions.push(GenerationAction::ReleasePermit {
        end,
        tokens: sequence.received,
    });
}
