//! Events of the running generation and its link.

use names::GenerationId;

use super::{Call, Mode, RESUMES_MAX, RETRY_AFTER_MS, State, stop};
use crate::border::End;
use crate::core::run::{Link, Run};
use crate::core::{Action, Cause, Event, FailurePoint, GenerationEnd, Outcome, outcome_at};

impl Call {
    pub(super) fn attempt_outcome(run: &Run, point: FailurePoint) -> Outcome {
        if run.opened {
            Outcome::Ran
        } else {
            outcome_at(point)
        }
    }

    pub(super) fn ended(
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

    /// Whether a link to the generation is open or being opened.
    pub(super) fn has_link(&self, generation: GenerationId) -> bool {
        self.run_of(generation)
            .is_some_and(|run| !matches!(run.link, Link::Closed { .. }))
    }

    /// Takes an event of the link to the running generation.
    pub(super) fn link_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
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
    pub(super) fn link_lost(
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

    pub(super) fn revoked(&mut self, actions: &mut Vec<Action>) {
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

    pub(super) fn token(
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
