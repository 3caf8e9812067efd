//! Handling of events from the running generation and its connection.

use names::GenerationId;

use super::{
    GenerationCall, RESUMES_WITHOUT_TOKEN_MAX, RETRY_AFTER_DEFAULT_MS, ResponseMode, State,
    stop_sequence,
};
use crate::core::sequence::{ConnectionState, Sequence};
use crate::core::{
    FailureCause, FailurePoint, FinishReason, GenerationAction, GenerationEvent, Outcome,
    outcome_at,
};
use crate::dependencies::PermitEnd;

impl GenerationCall {
    /// Returns the outcome of an attempt that failed at `point`; `Ran` if its stream ever opened.
    pub(super) fn attempt_outcome(sequence: &Sequence, point: FailurePoint) -> Outcome {
        if sequence.has_opened {
            Outcome::Ran
        } else {
            outcome_at(point)
        }
    }

    /// Handles an event of the connection to the running generation.
    pub(super) fn handle_connection_event(
        &mut self,
        now_us: u64,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) {
        match event {
            GenerationEvent::ConnectionFailed { point, .. } => {
                self.resume_or_restart(now_us, point, FailureCause::ConnectionFailed, actions);
            }
            GenerationEvent::GenerationNotFound { .. } => {
                let outcome = self.not_found_outcome();
                self.restart_or_fail(
                    outcome,
                    FailureCause::GenerationLost,
                    PermitEnd::Failed,
                    actions,
                );
            }
            GenerationEvent::MalformedResponse { .. } => {
                self.resume_or_restart(
                    now_us,
                    FailurePoint::Body,
                    FailureCause::Malformed,
                    actions,
                );
            }
            GenerationEvent::NotRun { .. } => self.handle_not_run(now_us, actions),
            GenerationEvent::StreamOpened { .. } => self.handle_stream_opened(now_us, actions),
            GenerationEvent::IdInUse { .. } => self.handle_id_in_use(now_us, actions),
            GenerationEvent::Rejected { status, .. } => {
                self.handle_rejected(now_us, status, actions);
            }
            GenerationEvent::ResumeFailed { .. } => self.abandon_resume(now_us, actions),
            GenerationEvent::Status { status, .. } => {
                if let State::Running(sequence) = &mut self.state {
                    sequence.record_status(now_us, status);
                }
            }
            _ => {}
        }
    }

    pub(super) fn handle_generation_ended(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        reason: FinishReason,
        tokens: u32,
        actions: &mut Vec<GenerationAction>,
    ) {
        let Some(sequence) = self.running_sequence(generation) else {
            return;
        };
        if !sequence.is_open() {
            return;
        }
        if tokens != sequence.received_tokens {
            self.resume_or_restart(now_us, FailurePoint::Body, FailureCause::Malformed, actions);
            return;
        }
        if reason == FinishReason::Cancelled {
            self.restart_or_fail(
                Outcome::Ran,
                FailureCause::GenerationLost,
                PermitEnd::Failed,
                actions,
            );
            return;
        }
        self.stop_kept(actions);
        self.state = State::Finished;
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Completed,
            tokens,
        });
        actions.push(GenerationAction::Complete { reason, tokens });
    }

    fn handle_id_in_use(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.has_opened {
            self.resume_or_restart(
                now_us,
                FailurePoint::Body,
                FailureCause::ConnectionFailed,
                actions,
            );
            return;
        }
        // The id may belong to another request's generation, which must not be cancelled.
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Failed,
            tokens: 0,
        });
        self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
        actions.push(GenerationAction::RequestRetry);
        self.last_cause = FailureCause::Rejected;
        self.state = State::AwaitingBudget;
    }

    fn handle_not_run(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.has_opened {
            // The engine refused a resume; the generation itself ran.
            self.resume_or_restart(
                now_us,
                FailurePoint::Body,
                FailureCause::ConnectionFailed,
                actions,
            );
            return;
        }
        actions.push(GenerationAction::CloseConnection);
        actions.push(GenerationAction::ReleasePermit {
            end: PermitEnd::Refused,
            tokens: 0,
        });
        actions.push(GenerationAction::RequestRetry);
        self.last_cause = FailureCause::Rejected;
        self.state = State::AwaitingBudget;
    }

    fn handle_rejected(&mut self, now_us: u64, status: u16, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        if sequence.has_opened {
            self.resume_or_restart(now_us, FailurePoint::Body, FailureCause::Rejected, actions);
            return;
        }
        if status >= 500 {
            self.restart_or_fail(
                Outcome::Unknown,
                FailureCause::Rejected,
                PermitEnd::Failed,
                actions,
            );
            return;
        }
        stop_sequence(sequence, Outcome::Unknown, PermitEnd::Failed, actions);
        self.worst_outcome = self.worst_outcome.max(Outcome::Unknown);
        self.state = State::AwaitingBudget;
        if !self.reinstate_last(now_us, actions) {
            self.fail(FailureCause::Rejected, RETRY_AFTER_DEFAULT_MS, actions);
        }
    }

    fn handle_stream_opened(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if let State::Running(sequence) = &mut self.state {
            sequence.has_opened = true;
            sequence.set_connection(now_us, ConnectionState::Open);
            self.stop_kept(actions);
        }
    }

    pub(super) fn handle_token(
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
        if !sequence.is_open() {
            return;
        }
        if index != sequence.received_tokens {
            self.resume_or_restart(now_us, FailurePoint::Body, FailureCause::Malformed, actions);
            return;
        }
        sequence.record_token(now_us);
        if sequence.connection != ConnectionState::Open {
            sequence.connection = ConnectionState::Open;
            actions.push(GenerationAction::AbandonResume);
        }
        if self.resume_backoff.attempts() > 0 {
            self.resume_backoff.reset();
        }
        if self.mode == ResponseMode::Stream {
            self.delivered_tokens += 1;
        }
        if !self.kept.is_empty() {
            self.stop_kept(actions);
        }
        actions.push(GenerationAction::Deliver { generation, index });
    }

    /// Whether a connection to the generation is open or being opened.
    pub(super) fn has_connection(&self, generation: GenerationId) -> bool {
        self.running_sequence(generation)
            .is_some_and(|sequence| !matches!(sequence.connection, ConnectionState::Closed { .. }))
    }

    /// Returns the outcome of an attempt whose generation the engine does not know.
    fn not_found_outcome(&self) -> Outcome {
        match &self.state {
            State::Running(sequence) => Self::attempt_outcome(sequence, FailurePoint::Written),
            _ => Outcome::Unknown,
        }
    }

    /// Stops the running generation. Requests a restart, or fails the call if the client has
    /// received tokens.
    fn restart_or_fail(
        &mut self,
        outcome: Outcome,
        cause: FailureCause,
        end: PermitEnd,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &self.state else {
            return;
        };
        stop_sequence(sequence, outcome, end, actions);
        self.last_cause = cause;
        self.worst_outcome = self.worst_outcome.max(outcome);
        if self.delivered_tokens > 0 {
            self.fail(cause, RETRY_AFTER_DEFAULT_MS, actions);
            return;
        }
        // Buffered tokens may be those of a kept generation.
        if self
            .kept
            .iter()
            .all(|sequence| sequence.received_tokens == 0)
        {
            actions.push(GenerationAction::DiscardTokens);
        }
        actions.push(GenerationAction::RequestRetry);
        self.state = State::AwaitingBudget;
    }

    /// Schedules a resume if tokens were received and the limits allow it; otherwise restarts or
    /// fails the call. A stalled generation is kept.
    pub(super) fn resume_or_restart(
        &mut self,
        now_us: u64,
        point: FailurePoint,
        cause: FailureCause,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &mut self.state else {
            return;
        };
        if matches!(sequence.connection, ConnectionState::Reopening { .. }) {
            // The silent stream has failed; the resume that is being opened takes its place.
            sequence.set_connection(now_us, ConnectionState::Opening);
            actions.push(GenerationAction::CloseSilentStream);
            return;
        }
        let outcome = Self::attempt_outcome(sequence, point);
        let until_us = now_us + self.resume_backoff.delay_us();
        let can_resume = sequence.received_tokens > 0
            && self.resume_backoff.attempts() <= RESUMES_WITHOUT_TOKEN_MAX
            && until_us < self.deadline_us;
        if can_resume {
            actions.push(GenerationAction::CloseConnection);
            sequence.set_connection(now_us, ConnectionState::Closed { until_us });
        } else if cause == FailureCause::Stalled {
            self.replace_or_wait(now_us, actions);
        } else {
            self.restart_or_fail(outcome, cause, PermitEnd::Failed, actions);
        }
    }

    /// Returns the running sequence if it belongs to the generation.
    fn running_sequence(&self, generation: GenerationId) -> Option<&Sequence> {
        match &self.state {
            State::Running(sequence) if sequence.generation == generation => Some(sequence),
            _ => None,
        }
    }
}
