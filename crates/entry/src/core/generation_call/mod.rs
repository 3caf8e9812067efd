//! State machine of one generation call.
//!
//! Until the client has received a token, a failed generation is cancelled and restarted with a new
//! permit, within the retry budgets. Once a streaming client has received a token, only the same
//! generation may continue: if its stream fails, it is resumed at the next index, a limited number
//! of times. A buffered response is sent only when it is complete, so a generation that cannot be
//! resumed is restarted.
//!
//! A generation that is silent or whose permit is revoked has not failed. Its stream stays open
//! until a resume or another generation has opened one, or until the deadline.
//!
//! A resume withdraws nothing from the budgets, because it requests work that the engine has
//! already done. A call whose next delay would end after the deadline ends at once instead.

mod connection;
mod replacement;

use names::GenerationId;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use crate::core::sequence::{ConnectionState, Sequence};
use crate::core::{
    Backoff, CallFailure, FailureCause, FailurePoint, GenerationAction, GenerationEvent, Outcome,
    StallTimeouts,
};
use crate::dependencies::{PermitEnd, Refusal, RefusalReason};

/// Initial bound of the delay before a resume.
const RESUME_DELAY_BASE_US: u64 = 50_000;

/// Largest bound of the delay before a resume.
const RESUME_DELAY_MAX_US: u64 = 2_000_000;

/// Most consecutive resumes without a token.
const RESUMES_WITHOUT_TOKEN_MAX: u32 = 6;

/// Initial bound of the delay before a restart.
const RESTART_DELAY_BASE_US: u64 = 20_000;

/// Largest bound of the delay before a restart.
const RESTART_DELAY_MAX_US: u64 = 2_000_000;

/// Time after which a client may retry, if no better time is known.
const RETRY_AFTER_DEFAULT_MS: u64 = 1_000;

/// How the response is sent to the client.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum ResponseMode {
    /// In one piece, buffered until it is complete.
    Buffered,
    /// As a stream of tokens.
    Stream,
}

/// State machine that runs one generation with retries and resumes.
#[derive(Debug)]
pub struct GenerationCall {
    deadline_us: u64,
    /// Tokens that were streamed to the client; 0 for a buffered response.
    delivered_tokens: u32,
    /// Generations that are kept while another one is sought or opened.
    kept: Vec<Sequence>,
    /// Cause of the last failed attempt.
    last_cause: FailureCause,
    mode: ResponseMode,
    restart_backoff: Backoff,
    resume_backoff: Backoff,
    state: State,
    /// Worst outcome of the attempts that have ended.
    worst_outcome: Outcome,
}

/// State of a generation call.
#[derive(Debug)]
enum State {
    AwaitingBudget,
    AwaitingPermit,
    /// Delays the request for another permit.
    BackingOff {
        until_us: u64,
    },
    Finished,
    Running(Sequence),
}

impl GenerationCall {
    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !self.kept.is_empty()
            && let Some(position) = self.kept_position(&event)
            && !self.handle_kept_event(now_us, position, event, actions)
        {
            return;
        }
        match event {
            GenerationEvent::Token { generation, index } => {
                self.handle_token(now_us, generation, index, actions);
            }
            GenerationEvent::BudgetDenied { retry_after_ms } => {
                self.handle_budget_denied(now_us, retry_after_ms, actions);
            }
            GenerationEvent::BudgetGranted => self.handle_budget_granted(now_us, actions),
            GenerationEvent::ClientDisconnected => self.handle_disconnect(actions),
            GenerationEvent::PermitGranted {
                generation,
                stall_timeouts,
            } => self.handle_permit_granted(now_us, generation, stall_timeouts, actions),
            GenerationEvent::PermitRefused(refusal) => {
                self.handle_permit_refused(now_us, refusal, actions);
            }
            GenerationEvent::PermitRevoked => self.handle_permit_revoked(actions),
            GenerationEvent::Tick => self.handle_tick(now_us, actions),
            GenerationEvent::GenerationEnded {
                generation,
                reason,
                tokens,
            } => self.handle_generation_ended(now_us, generation, reason, tokens, actions),
            GenerationEvent::IdInUse { generation }
            | GenerationEvent::ConnectionFailed { generation, .. }
            | GenerationEvent::GenerationNotFound { generation }
            | GenerationEvent::MalformedResponse { generation }
            | GenerationEvent::NotRun { generation, .. }
            | GenerationEvent::StreamOpened { generation }
            | GenerationEvent::Rejected { generation, .. }
            | GenerationEvent::ResumeFailed { generation }
            | GenerationEvent::Status { generation, .. } => {
                if self.has_connection(generation) {
                    self.handle_connection_event(now_us, event, actions);
                }
            }
        }
    }

    /// Whether the client has its final response or has disconnected.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    /// Returns when the call needs a `Tick`.
    #[must_use]
    pub fn next_tick_us(&self) -> u64 {
        let next_tick_us = match &self.state {
            State::AwaitingBudget | State::AwaitingPermit => self.deadline_us,
            State::Finished => u64::MAX,
            State::BackingOff { until_us } => *until_us,
            State::Running(sequence) => sequence.next_tick_us(),
        };
        next_tick_us.min(self.deadline_us)
    }

    /// Starts a call and requests its first permit.
    #[must_use]
    pub fn start(
        mode: ResponseMode,
        deadline_us: u64,
        seed: u64,
        actions: &mut Vec<GenerationAction>,
    ) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let restart_backoff =
            Backoff::new(RESTART_DELAY_BASE_US, RESTART_DELAY_MAX_US, random.clone());
        random.jump();
        actions.push(GenerationAction::AcquirePermit);
        Self {
            deadline_us,
            delivered_tokens: 0,
            kept: Vec::new(),
            last_cause: FailureCause::ConnectionFailed,
            mode,
            restart_backoff,
            resume_backoff: Backoff::new(RESUME_DELAY_BASE_US, RESUME_DELAY_MAX_US, random),
            state: State::AwaitingPermit,
            worst_outcome: Outcome::NotRun,
        }
    }

    fn fail(
        &mut self,
        cause: FailureCause,
        retry_after_ms: u64,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.stop_kept(actions);
        self.state = State::Finished;
        actions.push(GenerationAction::Fail(CallFailure {
            cause,
            delivered_tokens: self.delivered_tokens,
            outcome: self.worst_outcome,
            retry_after_ms,
        }));
    }

    fn handle_budget_denied(
        &mut self,
        now_us: u64,
        retry_after_ms: u64,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !matches!(self.state, State::AwaitingBudget) || self.reinstate_last(now_us, actions) {
            return;
        }
        if self.worst_outcome == Outcome::NotRun {
            self.refuse(RefusalReason::RetryBudget, retry_after_ms, actions);
        } else {
            self.fail(self.last_cause, retry_after_ms, actions);
        }
    }

    fn handle_budget_granted(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if !matches!(self.state, State::AwaitingBudget) {
            return;
        }
        let is_first = self.restart_backoff.attempts() == 0;
        let delay_us = self.restart_backoff.delay_us();
        if is_first {
            self.state = State::AwaitingPermit;
            actions.push(GenerationAction::AcquirePermit);
            return;
        }
        let until_us = now_us + delay_us;
        if until_us < self.deadline_us {
            self.state = State::BackingOff { until_us };
            return;
        }
        if self.reinstate_last(now_us, actions) {
            return;
        }
        if self.worst_outcome == Outcome::NotRun {
            self.refuse(
                RefusalReason::WaitedTooLong,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            );
        } else {
            self.fail(self.last_cause, RETRY_AFTER_DEFAULT_MS, actions);
        }
    }

    fn handle_disconnect(&mut self, actions: &mut Vec<GenerationAction>) {
        if let State::Running(sequence) = &self.state {
            stop_sequence(sequence, Outcome::Ran, PermitEnd::Cancelled, actions);
        }
        self.stop_kept(actions);
        self.state = State::Finished;
    }

    fn handle_permit_granted(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        stall_timeouts: StallTimeouts,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !matches!(self.state, State::AwaitingPermit) {
            return;
        }
        self.resume_backoff.reset();
        self.state = State::Running(Sequence::new(now_us, generation, stall_timeouts));
        actions.push(GenerationAction::Start { generation });
    }

    fn handle_permit_refused(
        &mut self,
        now_us: u64,
        refusal: Refusal,
        actions: &mut Vec<GenerationAction>,
    ) {
        if !matches!(self.state, State::AwaitingPermit) || self.reinstate_last(now_us, actions) {
            return;
        }
        if self.worst_outcome == Outcome::NotRun {
            self.refuse(refusal.reason, refusal.retry_after_ms, actions);
        } else {
            self.fail(self.last_cause, refusal.retry_after_ms, actions);
        }
    }

    fn handle_tick(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if now_us >= self.deadline_us {
            self.time_out(actions);
            return;
        }
        match &mut self.state {
            State::AwaitingBudget | State::Finished | State::AwaitingPermit => {}
            State::BackingOff { until_us } => {
                if now_us >= *until_us {
                    self.state = State::AwaitingPermit;
                    actions.push(GenerationAction::AcquirePermit);
                }
            }
            State::Running(sequence) => {
                if now_us < sequence.next_tick_us() {
                    return;
                }
                if matches!(sequence.connection, ConnectionState::Closed { .. }) {
                    sequence.set_connection(now_us, ConnectionState::Opening);
                    actions.push(GenerationAction::Resume {
                        from: sequence.received_tokens,
                        generation: sequence.generation,
                    });
                } else if sequence.is_open() && sequence.received_tokens > 0 {
                    self.resume_beside_silent(now_us, actions);
                } else {
                    self.resume_or_restart(
                        now_us,
                        FailurePoint::Written,
                        FailureCause::Stalled,
                        actions,
                    );
                }
            }
        }
    }

    fn refuse(
        &mut self,
        reason: RefusalReason,
        retry_after_ms: u64,
        actions: &mut Vec<GenerationAction>,
    ) {
        assert_eq!(
            (self.worst_outcome, self.delivered_tokens),
            (Outcome::NotRun, 0),
            "a request that may have run would be refused as not run"
        );
        self.state = State::Finished;
        actions.push(GenerationAction::Refuse(Refusal {
            reason,
            retry_after_ms,
        }));
    }

    fn time_out(&mut self, actions: &mut Vec<GenerationAction>) {
        match &self.state {
            State::Finished => return,
            State::Running(sequence) => {
                let outcome = Self::attempt_outcome(sequence, FailurePoint::Written);
                self.worst_outcome = self.worst_outcome.max(outcome);
                stop_sequence(sequence, outcome, sequence.unfinished_end(), actions);
            }
            State::AwaitingBudget | State::BackingOff { .. } | State::AwaitingPermit => {}
        }
        self.stop_kept(actions);
        if self.worst_outcome == Outcome::NotRun {
            self.refuse(
                RefusalReason::WaitedTooLong,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            );
        } else {
            self.fail(FailureCause::Deadline, RETRY_AFTER_DEFAULT_MS, actions);
        }
    }
}

/// Cancels a generation on its engine, unless it did not run, and releases its permit.
fn stop_sequence(
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
        tokens: sequence.received_tokens,
    });
}
