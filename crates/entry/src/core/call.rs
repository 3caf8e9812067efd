//! One generation call.
//!
//! While the caller has no token, a failed generation is cancelled and another is started, by a new
//! permit and within the budgets of retries. Once a streaming caller has a token, only the same
//! generation may go on: the link is opened again at the next index, a bounded number of times. A
//! whole answer is held until it is complete, so it is resumed first and then started again.
//!
//! Resuming takes nothing from the budgets: it asks the engine for work that is already done. Each
//! wait that would pass the deadline ends the call at once instead.

use names::GenerationId;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

use super::run::{Link, Run};
use super::{
    Action, Backoff, Cause, Event, Failure, FailurePoint, GenerationEnd, Outcome, Patience,
    outcome_at,
};
use crate::border::{End, Refusal, RefusalReason};

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

    fn attempt_outcome(run: &Run, point: FailurePoint) -> Outcome {
        if run.opened {
            Outcome::Ran
        } else {
            outcome_at(point)
        }
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

    fn ended(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        end: GenerationEnd,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.run_of(generation) else {
            return;
        };
        if run.link != Link::Open {
            return;
        }
        if tokens != run.received {
            self.link_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            return;
        }
        if end == GenerationEnd::Cancelled {
            self.generation_lost(Outcome::Ran, Cause::GenerationLost, End::Failed, actions);
            return;
        }
        self.state = State::Over;
        actions.push(Action::DropLink);
        actions.push(Action::Release {
            end: End::Completed,
            tokens,
        });
        actions.push(Action::Complete { end, tokens });
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

    /// Ends the running generation; starts another unless the caller has tokens.
    fn generation_lost(
        &mut self,
        outcome: Outcome,
        cause: Cause,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        let State::Running(run) = &self.state else {
            return;
        };
        stop(run, outcome, end, actions);
        self.cause = cause;
        self.outcome = self.outcome.max(outcome);
        if self.delivered > 0 {
            self.fail(cause, RETRY_AFTER_MS, actions);
            return;
        }
        actions.push(Action::Discard);
        actions.push(Action::AskBudget);
        self.state = State::Asking;
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

    /// Whether a link to the generation is open or being opened.
    fn has_link(&self, generation: GenerationId) -> bool {
        self.run_of(generation)
            .is_some_and(|run| !matches!(run.link, Link::Closed { .. }))
    }

    /// Takes an event of the link to the running generation.
    fn link_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LinkFailed { point, .. } => {
                self.link_lost(now_us, point, Cause::LinkFailed, actions);
            }
            Event::Lost { .. } => {
                let outcome = self.lost_outcome();
                self.generation_lost(outcome, Cause::GenerationLost, End::Failed, actions);
            }
            Event::Malformed { .. } => {
                self.link_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            }
            Event::NotRun { .. } => self.not_run(now_us, actions),
            Event::Opened { .. } => self.opened(now_us),
            Event::InUse { .. } => self.number_in_use(now_us, actions),
            Event::Rejected { status, .. } => self.rejected(now_us, status, actions),
            Event::Status { status, .. } => {
                if let State::Running(run) = &mut self.state {
                    run.set_status(now_us, status);
                }
            }
            _ => {}
        }
    }

    /// Opens the link again where tokens came; otherwise ends the generation.
    fn link_lost(
        &mut self,
        now_us: u64,
        point: FailurePoint,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let State::Running(run) = &mut self.state else {
            return;
        };
        let outcome = Self::attempt_outcome(run, point);
        let until_us = now_us + self.resumes.delay_us();
        let resumes = run.received > 0
            && self.resumes.attempt() <= RESUMES_MAX
            && until_us < self.deadline_us;
        if resumes {
            actions.push(Action::DropLink);
            run.set_link(now_us, Link::Closed { until_us });
        } else {
            self.generation_lost(outcome, cause, End::Failed, actions);
        }
    }

    fn lost_outcome(&self) -> Outcome {
        match &self.state {
            State::Running(run) => Self::attempt_outcome(run, FailurePoint::Written),
            _ => Outcome::Unknown,
        }
    }

    fn not_run(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let State::Running(run) = &self.state else {
            return;
        };
        if run.opened {
            // A resume was refused; the generation itself did run.
            self.link_lost(now_us, FailurePoint::Body, Cause::LinkFailed, actions);
            return;
        }
        actions.push(Action::DropLink);
        actions.push(Action::Release {
            end: End::Refused,
            tokens: 0,
        });
        actions.push(Action::AskBudget);
        self.cause = Cause::Rejected;
        self.state = State::Asking;
    }

    fn number_in_use(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let State::Running(run) = &self.state else {
            return;
        };
        if run.opened {
            self.link_lost(now_us, FailurePoint::Body, Cause::LinkFailed, actions);
            return;
        }
        // The number may belong to another request: it must not be cancelled.
        actions.push(Action::DropLink);
        actions.push(Action::Release {
            end: End::Failed,
            tokens: 0,
        });
        self.outcome = self.outcome.max(Outcome::Unknown);
        actions.push(Action::AskBudget);
        self.cause = Cause::Rejected;
        self.state = State::Asking;
    }

    fn opened(&mut self, now_us: u64) {
        if let State::Running(run) = &mut self.state {
            run.opened = true;
            run.set_link(now_us, Link::Open);
        }
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

    fn rejected(&mut self, now_us: u64, status: u16, actions: &mut Vec<Action>) {
        let State::Running(run) = &self.state else {
            return;
        };
        if run.opened {
            self.link_lost(now_us, FailurePoint::Body, Cause::Rejected, actions);
            return;
        }
        if status >= 500 {
            self.generation_lost(Outcome::Unknown, Cause::Rejected, End::Failed, actions);
            return;
        }
        stop(run, Outcome::Unknown, End::Failed, actions);
        self.outcome = self.outcome.max(Outcome::Unknown);
        self.fail(Cause::Rejected, RETRY_AFTER_MS, actions);
    }

    fn revoked(&mut self, actions: &mut Vec<Action>) {
        let State::Running(run) = &self.state else {
            return;
        };
        if run.received > 0 {
            return;
        }
        let outcome = Self::attempt_outcome(run, FailurePoint::Written);
        stop(run, outcome, End::Cancelled, actions);
        self.outcome = self.outcome.max(outcome);
        actions.push(Action::Acquire);
        self.state = State::Queued;
    }

    fn run_of(&self, generation: GenerationId) -> Option<&Run> {
        match &self.state {
            State::Running(run) if run.generation == generation => Some(run),
            _ => None,
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

    fn token(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        index: u32,
        actions: &mut Vec<Action>,
    ) {
        let State::Running(run) = &mut self.state else {
            return;
        };
        if run.generation != generation {
            return;
        }
        if run.link != Link::Open {
            return;
        }
        if index != run.received {
            self.link_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            return;
        }
        run.set_token(now_us);
        if self.resumes.attempt() > 0 {
            self.resumes.reset();
        }
        if self.mode == Mode::Stream {
            self.delivered += 1;
        }
        actions.push(Action::Deliver { generation, index });
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
