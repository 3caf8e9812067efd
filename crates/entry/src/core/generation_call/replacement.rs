//! Generations that are kept while a replacement is sought.
//!
//! A stalled generation may still answer, and so may one whose permit was revoked. It keeps its connection and its permit until another
//! generation has opened its stream, and is the running one again if it answers first or if there
//! is no replacement. Likewise a silent stream stays open until a resume has opened.

use std::mem;

use super::{GenerationCall, RESUMES_WITHOUT_TOKEN_MAX, State, stop_sequence};
use crate::core::sequence::{ConnectionState, Sequence};
use crate::core::{
    FailureCause, FailurePoint, FinishReason, GenerationAction, GenerationEvent, Outcome,
};
use crate::dependencies::PermitEnd;

/// Most generations that are kept beside the running one.
const KEPT_MAX: usize = 3;

/// Most doublings of the time in which a resume beside a silent stream should open.
const OPEN_DOUBLINGS_MAX: u32 = 8;

impl GenerationCall {
    /// Gives up a resume; the silent stream goes on.
    pub(super) fn abandon_resume(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if let State::Running(sequence) = &mut self.state
            && matches!(sequence.connection, ConnectionState::Reopening { .. })
        {
            sequence.set_connection(now_us, ConnectionState::Open);
            actions.push(GenerationAction::AbandonResume);
        }
    }

    /// Opens another stream of the running generation beside the silent one.
    ///
    /// Buffered tokens are generated elsewhere after a number of resumes. Streamed ones are not, so
    /// that each further resume has more time to open.
    pub(super) fn resume_beside_silent(
        &mut self,
        now_us: u64,
        actions: &mut Vec<GenerationAction>,
    ) {
        let State::Running(sequence) = &mut self.state else {
            return;
        };
        let surplus = sequence
            .silent_resumes
            .saturating_sub(RESUMES_WITHOUT_TOKEN_MAX);
        if self.delivered_tokens == 0 && sequence.silent_resumes >= RESUMES_WITHOUT_TOKEN_MAX {
            self.abandon_resume(now_us, actions);
            self.replace_stalled(now_us, actions);
            return;
        }
        sequence.has_stalled = true;
        sequence.silent_resumes += 1;
        let timeout_us = sequence.open_timeout_us() << surplus.min(OPEN_DOUBLINGS_MAX);
        let until_us = now_us + timeout_us;
        sequence.set_connection(now_us, ConnectionState::Reopening { until_us });
        actions.push(GenerationAction::Resume {
            from: sequence.received_tokens,
            generation: sequence.generation,
        });
    }

    /// Seeks a replacement of the stalled generation, or waits on if tokens were delivered.
    pub(super) fn replace_or_wait(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        if self.delivered_tokens == 0 {
            self.replace_stalled(now_us, actions);
        } else if let State::Running(sequence) = &mut self.state {
            sequence.has_stalled = true;
            sequence.restart_stall_timeouts(now_us);
        }
    }

    /// Keeps the running generation, which has stalled, and requests a retry beside it.
    fn replace_stalled(&mut self, now_us: u64, actions: &mut Vec<GenerationAction>) {
        let State::Running(sequence) = &mut self.state else {
            return;
        };
        sequence.has_stalled = true;
        sequence.restart_stall_timeouts(now_us);
        if self.keep_running(State::AwaitingBudget, actions) {
            self.last_cause = FailureCause::Stalled;
            actions.push(GenerationAction::RequestRetry);
        }
    }

    /// Requests another permit for a generation without a token, and keeps it meanwhile.
    pub(super) fn handle_permit_revoked(&mut self, actions: &mut Vec<GenerationAction>) {
        let has_token =
            matches!(&self.state, State::Running(sequence) if sequence.received_tokens > 0);
        if !has_token && self.keep_running(State::AwaitingPermit, actions) {
            actions.push(GenerationAction::AcquirePermit);
        }
    }

    /// Keeps the running generation and enters `state`; false if no generation runs or too many are
    /// kept.
    fn keep_running(&mut self, state: State, actions: &mut Vec<GenerationAction>) -> bool {
        if !matches!(self.state, State::Running(_)) || self.kept.len() >= KEPT_MAX {
            return false;
        }
        if let State::Running(sequence) = mem::replace(&mut self.state, state) {
            actions.push(GenerationAction::Keep {
                generation: sequence.generation,
                has_stalled: sequence.has_stalled,
            });
            self.kept.push(sequence);
        }
        true
    }

    /// Handles an event of a kept generation; returns whether it runs again.
    pub(super) fn handle_kept_event(
        &mut self,
        now_us: u64,
        position: usize,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) -> bool {
        let sequence = &mut self.kept[position];
        let is_open = sequence.connection == ConnectionState::Open;
        let has_answered = match event {
            GenerationEvent::Status { status, .. } => {
                sequence.record_status(now_us, status);
                return false;
            }
            // An engine opens the streams of generations that wait in its queue.
            GenerationEvent::StreamOpened { .. } if !sequence.has_stalled => {
                sequence.has_opened = true;
                sequence.set_connection(now_us, ConnectionState::Open);
                return false;
            }
            GenerationEvent::StreamOpened { .. } => !is_open,
            GenerationEvent::Token { .. } | GenerationEvent::GenerationEnded { .. } if !is_open => {
                return false;
            }
            GenerationEvent::Token { index, .. } => index == sequence.received_tokens,
            GenerationEvent::GenerationEnded { reason, tokens, .. } => {
                reason != FinishReason::Cancelled && tokens == sequence.received_tokens
            }
            _ => false,
        };
        if has_answered {
            self.reinstate(now_us, position, actions);
        } else {
            self.drop_failed(position, event, actions);
        }
        has_answered
    }

    /// Position of the kept generation that an event is about.
    pub(super) fn kept_position(&self, event: &GenerationEvent) -> Option<usize> {
        let generation = event.generation()?;
        self.kept
            .iter()
            .position(|sequence| sequence.generation == generation)
    }

    /// Runs the generation that was kept last, as it has no replacement; false if none is kept.
    pub(super) fn reinstate_last(
        &mut self,
        now_us: u64,
        actions: &mut Vec<GenerationAction>,
    ) -> bool {
        let last = self.kept.len().checked_sub(1);
        if let Some(position) = last {
            self.reinstate(now_us, position, actions);
        }
        last.is_some()
    }

    /// Stops the kept generations, because the running one has answered or the call ends.
    pub(super) fn stop_kept(&mut self, actions: &mut Vec<GenerationAction>) {
        for sequence in mem::take(&mut self.kept) {
            let outcome = Self::attempt_outcome(&sequence, FailurePoint::Written);
            self.worst_outcome = self.worst_outcome.max(outcome);
            if outcome != Outcome::NotRun {
                actions.push(GenerationAction::Cancel {
                    generation: sequence.generation,
                });
            }
            push_stop(&sequence, sequence.unfinished_end(), actions);
        }
    }

    /// Stops a kept generation that has failed; another one is already being sought or running.
    fn drop_failed(
        &mut self,
        position: usize,
        event: GenerationEvent,
        actions: &mut Vec<GenerationAction>,
    ) {
        let sequence = self.kept.remove(position);
        let (point, cause) = match event {
            GenerationEvent::ConnectionFailed { point, .. } => {
                (point, FailureCause::ConnectionFailed)
            }
            GenerationEvent::GenerationNotFound { .. } => {
                (FailurePoint::Written, FailureCause::GenerationLost)
            }
            GenerationEvent::NotRun { .. } => (FailurePoint::Unwritten, FailureCause::Rejected),
            GenerationEvent::IdInUse { .. } | GenerationEvent::Rejected { .. } => {
                (FailurePoint::Written, FailureCause::Rejected)
            }
            _ => (FailurePoint::Body, FailureCause::Malformed),
        };
        let outcome = Self::attempt_outcome(&sequence, point);
        self.last_cause = cause;
        self.worst_outcome = self.worst_outcome.max(outcome);
        // An id in use may belong to another request's generation, which must not be cancelled.
        let is_foreign = matches!(event, GenerationEvent::IdInUse { .. }) && !sequence.has_opened;
        if outcome != Outcome::NotRun && !is_foreign {
            actions.push(GenerationAction::Cancel {
                generation: sequence.generation,
            });
        }
        let is_refused = matches!(event, GenerationEvent::NotRun { .. }) && !sequence.has_opened;
        let end = if is_refused {
            PermitEnd::Refused
        } else {
            PermitEnd::Failed
        };
        push_stop(&sequence, end, actions);
    }

    /// Runs a kept generation again; stops the one that runs in its place.
    fn reinstate(&mut self, now_us: u64, position: usize, actions: &mut Vec<GenerationAction>) {
        let mut sequence = self.kept.remove(position);
        sequence.restart_stall_timeouts(now_us);
        let generation = sequence.generation;
        if let State::Running(replacement) = mem::replace(&mut self.state, State::Running(sequence))
        {
            let outcome = Self::attempt_outcome(&replacement, FailurePoint::Written);
            self.worst_outcome = self.worst_outcome.max(outcome);
            stop_sequence(&replacement, outcome, replacement.unfinished_end(), actions);
            if replacement.received_tokens > 0 {
                actions.push(GenerationAction::DiscardTokens);
            }
        }
        actions.push(GenerationAction::Reinstate { generation });
    }
}

fn push_stop(sequence: &Sequence, end: PermitEnd, actions: &mut Vec<GenerationAction>) {
    if sequence.received_tokens > 0 {
        actions.push(GenerationAction::DiscardTokens);
    }
    actions.push(GenerationAction::StopKept {
        end,
        generation: sequence.generation,
        tokens: sequence.received_tokens,
    });
}
