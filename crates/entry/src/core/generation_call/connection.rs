//! Events of the running generation and its link.

use names::GenerationId;

use super::{GenerationCall, RESUMES_MAX, RETRY_AFTER_MS, ResponseMode, State, stop};
use crate::core::sequence::{ConnectionState, Sequence};
use crate::core::{
    Cause, FailurePoint, FinishReason, GenerationAction, GenerationEvent, Outcome, outcome_at,
};
use crate::dependencies::PermitEnd;

impl GenerationCall {
    pub(super) fn attempt_outcome(sequence: &Sequence, point: FailurePoint) -> Outcome {
        if sequence.opened {
            Outcome::Ran
        } else {
            outcome_at(point)
        }
    }

    pub(super) fn ended(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        end: FinishReason,
        tokens: u32,
        actions: &mut Vec<GenerationAction>,
    ) {
        let Some(sequence) = self.sequence_of(generation) else {
            return;
        };
        if sequence.connection != ConnectionState::Open {
            return;
        }
        if tokens != sequence.received {
            self.connection_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            return;
        }
        if end == FinishReason::Cancelled {
            self.generation_lost(
                Outcome::Ran,
                Cause::GenerationLost,
                PermitEnd::Failed,
                actions,
            );
            return;
        }
        self.state = State::Over;
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Completed,
            tokens,
        });
        actions.push(GenerationAction::Complete { end, tokens });
    }

    /// Ends the running generation; starts another unless the caller has tokens.
    fn generation_lost(
        &mut self,
        outcome: Outcome,
        cause: Cause,
        end: PermitEnd,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        stop(sequence, outcome, end, actions);
        self.cause = cause;
        self.outcome = self.outcome.max(outcome);
        if self.delivered > 0 {
            self.fail(cause, RETRY_AFTER_MS, actions);
            return;
        }
        actions.push(GenerationAction::DiscardTokens);
        actions.push(GenerationAction::RequestRetry);
        self.state = State::Asking;
    }

    /// Whether a link to the generation is open or being opened.
    pub(super) fn has_connection(&self, generation: GenerationId) -> bool {
        self.sequence_of(generation)
            .is_some_and(|sequence| !matches!(sequence.connection, ConnectionState::Closed { .. }))
    }

    /// Takes an event of the link to the running generation.
    pub(super) fn connection_event(
        &mut self,
        now_us: u64,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) {
        match event {
            GenerationEvent::ConnectionFailed { point, .. } => {
                self.connection_lost(now_us, point, Cause::ConnectionFailed, actions);
            }
            GenerationEvent::GenerationNotFound { .. } => {
                let outcome = self.lost_outcome();
                self.generation_lost(outcome, Cause::GenerationLost, PermitEnd::Failed, actions);
            }
            GenerationEvent::MalformedResponse { .. } => {
                self.connection_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            }
            GenerationEvent::NotRun { .. } => self.not_run(now_us, actions),
            GenerationEvent::StreamOpened { .. } => self.opened(now_us),
            GenerationEvent::IdInUse { .. } => self.number_in_use(now_us, actions),
            GenerationEvent::Rejected { status, .. } => self.rejected(now_us, status, actions),
            GenerationEvent::Status { status, .. } => {
                if let State::Running(sequence) = &mut self.state {
                    sequence.set_status(now_us, status);
                }
            }
            _ => {}
        }
    }

    /// Opens the link again where tokens came; otherwise ends the generation.
    pub(super) fn connection_lost(
        &mut self,
        now_us: u64,
        point: FailurePoint,
        cause: Cause,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &mut self.state else {
            return;
        };
        let outcome = Self::attempt_outcome(sequence, point);
        let until_us = now_us + self.resumes.delay_us();
        let resumes = sequence.received > 0
            && self.resumes.attempt() <= RESUMES_MAX
            && until_us < self.deadline_us;
        if resumes {
            actions.push(GenerationAction::CloseConnection);
            sequence.set_connection(now_us, ConnectionState::Closed { until_us });
        } else {
            self.generation_lost(outcome, cause, PermitEnd::Failed, actions);
        }
    }

    fn lost_outcome(&self) -> Outcome {
        match &self.state {
            State::Running(sequence) => Self::attempt_outcome(sequence, FailurePoint::Written),
            _ => Outcome::Unknown,
        }
    }

    fn not_run(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.opened {
            // A resume was refused; the generation itself ran.
            self.connection_lost(now_us, FailurePoint::Body, Cause::ConnectionFailed, actions);
            return;
        }
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Refused,
            tokens: 0,
        });
        actions.push(GenerationAction::RequestRetry);
        self.cause = Cause::Rejected;
        self.state = State::Asking;
    }

    fn number_in_use(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.opened {
            self.connection_lost(now_us, FailurePoint::Body, Cause::ConnectionFailed, actions);
            return;
        }
        // The number may belong to another request: it must not be cancelled.
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Failed,
            tokens: 0,
        });
        self.outcome = self.outcome.max(Outcome::Unknown);
        actions.push(GenerationAction::RequestRetry);
        self.cause = Cause::Rejected;
        self.state = State::Asking;
    }

    fn opened(&mut self, now_us: u64) {
        if let State::Running(sequence) = &mut self.state {
            sequence.opened = true;
            sequence.set_connection(now_us, ConnectionState::Open);
        }
    }

    fn rejected(&mut self, now_us: u64, status: u16, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.opened {
            self.connection_lost(now_us, FailurePoint::Body, Cause::Rejected, actions);
            return;
        }
        if status >= 500 {
            self.generation_lost(
                Outcome::Unknown,
                Cause::Rejected,
                PermitEnd::Failed,
                actions,
            );
            return;
        }
        stop(sequence, Outcome::Unknown, PermitEnd::Failed, actions);
        self.outcome = self.outcome.max(Outcome::Unknown);
        self.fail(Cause::Rejected, RETRY_AFTER_MS, actions);
    }

    pub(super) fn revoked(&mut self, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.received > 0 {
            return;
        }
        let outcome = Self::attempt_outcome(sequence, FailurePoint::Written);
        stop(sequence, outcome, PermitEnd::Cancelled, actions);
        self.outcome = self.outcome.max(outcome);
        actions.push(GenerationAction::AcquirePermit);
        self.state = State::Queued;
    }

    fn sequence_of(&self, generation: GenerationId) -> Option<&Sequence> {
        match &self.state {
            State::Running(sequence) if sequence.generation == generation => Some(sequence),
            _ => None,
        }
    }

    pub(super) fn token(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        index: u32,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &mut self.state else {
            return;
        };
        if sequence.generation != generation {
            return;
        }
        if sequence.connection != ConnectionState::Open {
            return;
        }
        if index != sequence.received {
            self.connection_lost(now_us, FailurePoint::Body, Cause::Malformed, actions);
            return;
        }
        sequence.set_token(now_us);
        if self.resumes.attempt() > 0 {
            self.resumes.reset();
        }
        if self.mode == ResponseMode::Stream {
            self.delivered += 1;
        }
        actions.push(GenerationAction::Deliver { generation, index });
    }
}
