//! One generation call.
//!
//! While the caller has no token, a failed generation is cancelled and another is started, by a new
//! permit and within the budgets of retries. Once a streaming caller has a token, only the same
//! generation may go on: the link is opened again at the next index, a bounded number of times. A
//! whole answer is held until it is complete, so it is resumed first and then started again.
//!
//! Resuming takes nothing from the budgets: it asks the engine for work that is already done. Each
//! wait that would pass the deadline ends the call at once instead.

mod link;

use names::GenerationId;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use crate::border::{End, Refusal, RefusalReason};
use crate::core::run::{Link, Run};
use crate::core::{Action, Backoff, Cause, Event, Failure, FailurePoint, Outcome, Patience};

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
pub enum Mode {
    /// Token by token.
    Stream,
    /// In one piece.
    Whole,
}

/// State machine of one generation call.
#[derive(Debug)]
pub struct Call {
    /// Why the last attempt failed.
    cause: Cause,
    deadline_us: u64,
    /// Tokens that reached the caller.
    delivered: u32,
    mode: Mode,
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
    Running(Run),
}

impl Call {
    /// Takes an event and appends what follows from it.
    pub fn handle(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Token { generation, index } => self.token(now_us, generation, index, actions),
            Event::BudgetDenied { retry_after_ms } => self.budget_denied(retry_after_ms, actions),
            Event::BudgetGranted => self.budget_granted(now_us, actions),
            Event::CallerGone => self.caller_gone(actions),
            Event::Granted {
                generation,
                patience,
            } => self.granted(now_us, generation, patience, actions),
            Event::Refused(refusal) => self.refused(refusal, actions),
            Event::Revoked => self.revoked(actions),
            Event::Tick => self.tick(now_us, actions),
            Event::Ended {
                end,
                generation,
                tokens,
            } => self.ended(now_us, generation, end, tokens, actions),
            Event::InUse { generation }
            | Event::LinkFailed { generation, .. }
            | Event::Lost { generation }
            | Event::Malformed { generation }
            | Event::NotRun { generation, .. }
            | Event::Opened { generation }
            | Event::Rejected { generation, .. }
            | Event::Status { generation, .. } => {
                if self.has_link(generation) {
                    self.link_event(now_us, event, actions);
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
    pub fn open(mode: Mode, deadline_us: u64, seed: u64, actions: &mut Vec<Action>) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let restarts = Backoff::new(RESTART_BASE_US, RESTART_MAX_US, random.clone());
        random.jump();
        actions.push(Action::Acquire);
        Self {
            cause: Cause::LinkFailed,
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
            State::Running(run) => run.wake_us(),
        };
        wake_us.min(self.deadline_us)
    }

    fn budget_denied(&mut self, retry_after_ms: u64, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Asking) {
            return;
        }
        if self.outcome == Outcome::NotRun {
            self.refuse(RefusalReason::RetryBudget, retry_after_ms, actions);
        } else {
            self.fail(self.cause, retry_after_ms, actions);
        }
    }

    fn budget_granted(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Asking) {
            return;
        }
        let first = self.restarts.attempt() == 0;
        let delay_us = self.restarts.delay_us();
        if first {
            self.state = State::Queued;
            actions.push(Action::Acquire);
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

    fn caller_gone(&mut self, actions: &mut Vec<Action>) {
        if let State::Running(run) = &self.state {
            stop(run, Outcome::Ran, End::Cancelled, actions);
        }
        self.state = State::Over;
    }

    fn fail(&mut self, cause: Cause, retry_after_ms: u64, actions: &mut Vec<Action>) {
        self.state = State::Over;
        actions.push(Action::Fail(Failure {
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
        patience: Patience,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(self.state, State::Queued) {
            return;
        }
        self.resumes.reset();
        self.state = State::Running(Run::new(now_us, generation, patience));
        actions.push(Action::Start { generation });
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after_ms: u64, actions: &mut Vec<Action>) {
        assert_eq!(
            (self.outcome, self.delivered),
            (Outcome::NotRun, 0),
            "a request that may have run would be refused as not run"
        );
        self.state = State::Over;
        actions.push(Action::Refuse(Refusal {
            reason,
            retry_after_ms,
        }));
    }

    fn refused(&mut self, refusal: Refusal, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Queued) {
            return;
        }
        if self.outcome == Outcome::NotRun {
            self.refuse(refusal.reason, refusal.retry_after_ms, actions);
        } else {
            self.fail(self.cause, refusal.retry_after_ms, actions);
        }
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us >= self.deadline_us {
            self.time_out(actions);
            return;
        }
        match &mut self.state {
            State::Asking | State::Over | State::Queued => {}
            State::Pausing { until_us } => {
                if now_us >= *until_us {
                    self.state = State::Queued;
                    actions.push(Action::Acquire);
                }
            }
            State::Running(run) => {
                if now_us < run.wake_us() {
                    return;
                }
                if matches!(run.link, Link::Closed { .. }) {
                    run.set_link(now_us, Link::Opening);
                    actions.push(Action::Resume {
                        from: run.received,
                        generation: run.generation,
                    });
                } else {
                    self.link_lost(now_us, FailurePoint::Written, Cause::Stalled, actions);
                }
            }
        }
    }

    fn time_out(&mut self, actions: &mut Vec<Action>) {
        match &self.state {
            State::Over => return,
            State::Running(run) => {
                let outcome = Self::attempt_outcome(run, FailurePoint::Written);
                self.outcome = self.outcome.max(outcome);
                stop(run, outcome, End::Cancelled, actions);
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
fn stop(run: &Run, outcome: Outcome, end: End, actions: &mut Vec<Action>) {
    actions.push(Action::DropLink);
    if outcome != Outcome::NotRun {
        actions.push(Action::Cancel {
            generation: run.generation,
        });
    }
    actions.push(Action::Release {
        end,
        tokens: run.received,
    });
}
