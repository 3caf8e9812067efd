use std::sync::Arc;
use std::{iter, mem};

use bytes::Bytes;
use names::GenerationId;

use super::{Attempt, BUDGET_RETRY_AFTER_MS, DriverInput, GenerationDriver, PendingOperation};
use crate::core::{
    FailurePoint, FinishReason, GenerationAction, GenerationEvent, GenerationStatus,
};
use crate::dependencies::{Permit, PermitEnd, Refusal, RefusalReason};
use crate::http::engine_stream::EngineStream;
use crate::http::event_reader::EngineEvent;

impl GenerationDriver {
    /// Whether the call closes the connection because of an invalid event.
    fn is_stream_faulty(&self, event: &GenerationEvent) -> bool {
        let is_cancellation = match event {
            GenerationEvent::GenerationEnded { reason, .. } => *reason == FinishReason::Cancelled,
            _ => false,
        };
        let is_complete = matches!(self.actions.last(), Some(GenerationAction::Complete { .. }));
        let is_closed = self.actions.iter().any(|action| match action {
            GenerationAction::CloseConnection | GenerationAction::CloseSilentStream => true,
            GenerationAction::StopKept { generation, .. } => {
                Some(*generation) == event.generation()
            }
            _ => false,
        });
        is_closed && !is_cancellation && !is_complete
    }

    pub(super) async fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::ClientDisconnected => {
                self.handle_event(GenerationEvent::ClientDisconnected);
            }
            DriverInput::StreamOpened(Ok(stream)) => self.handle_stream_opened(stream),
            DriverInput::StreamOpened(Err(event)) => self.handle_open_failure(event),
            DriverInput::Permit(Ok(permit)) => self.handle_permit(permit),
            DriverInput::Permit(Err(refusal)) => {
                self.attempt = Attempt::default();
                self.handle_event(GenerationEvent::PermitRefused(refusal));
            }
            DriverInput::Chunk {
                chunk: Ok(chunk),
                generation,
            } => self.handle_chunk(generation, &chunk).await,
            DriverInput::Chunk {
                chunk: Err(point),
                generation,
            } => self.handle_stream_failure(generation, point),
            DriverInput::PermitRevoked => {
                self.attempt.revocation = None;
                self.handle_event(GenerationEvent::PermitRevoked);
            }
            DriverInput::Tick => self.handle_event(GenerationEvent::Tick),
        }
    }

    /// Handles one event of the engine; false if actions must be performed before the next event.
    fn handle_engine_event(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        event: &EngineEvent<'_>,
    ) -> bool {
        let buffered_bytes_max = self.task.shared.settings.limits.buffered_bytes_max;
        let call_event = match event {
            EngineEvent::Token { index, .. }
                if self.task.response.buffered_bytes() <= buffered_bytes_max =>
            {
                GenerationEvent::Token {
                    generation,
                    index: *index,
                }
            }
            EngineEvent::Malformed | EngineEvent::Token { .. } => {
                GenerationEvent::MalformedResponse { generation }
            }
            EngineEvent::End { reason, tokens } => GenerationEvent::GenerationEnded {
                generation,
                reason: *reason,
                tokens: *tokens,
            },
            EngineEvent::Status(status) => {
                if *status == GenerationStatus::Preempted {
                    self.task.metrics.observer().record_preemption();
                }
                GenerationEvent::Status {
                    generation,
                    status: *status,
                }
            }
        };
        self.call.handle(now_us, call_event, &mut self.actions);
        if let (
            Some(GenerationAction::Deliver { generation, index }),
            EngineEvent::Token { text, .. },
        ) = (self.actions.last(), event)
        {
            let (generation, index) = (*generation, *index);
            self.actions.pop();
            // Stops other attempts before the token is taken from this one.
            if !self.actions.is_empty() {
                for action in mem::take(&mut self.actions) {
                    self.perform_local_action(action);
                }
            }
            self.task.response.push_token(generation, index, text);
            self.task.metrics.record_token(now_us);
            self.attempt.received_tokens = index + 1;
        }
        if self.is_stream_faulty(&call_event) {
            self.task.metrics.observer().record_dropped_connection();
        }
        self.actions.is_empty()
    }

    fn handle_open_failure(&mut self, event: GenerationEvent) {
        let attempt = event
            .generation()
            .and_then(|generation| self.attempt_mut(generation));
        if let Some(attempt) = attempt {
            attempt.pending_operation = PendingOperation::None;
            if attempt.silent_stream.is_some()
                && let Some(generation) = attempt.generation
                && !matches!(event, GenerationEvent::GenerationNotFound { .. })
            {
                return self.handle_event(GenerationEvent::ResumeFailed { generation });
            }
        }
        self.handle_event(event);
    }

    fn handle_stream_failure(&mut self, generation: GenerationId, point: FailurePoint) {
        if let Some(attempt) = self.attempt_mut(generation) {
            attempt.take_stream();
            self.task.metrics.observer().record_dropped_connection();
            self.handle_event(GenerationEvent::ConnectionFailed { generation, point });
        }
    }

    fn handle_stream_opened(&mut self, stream: Box<EngineStream>) {
        let now_us = self.task.shared.clock.now_us();
        let generation = stream.generation;
        let attempt = iter::once(&mut self.attempt)
            .chain(&mut self.kept_attempts)
            .find(|attempt| attempt.generation == Some(generation));
        if let Some(attempt) = attempt {
            if let Some(permit) = &attempt.permit {
                self.task.metrics.start_stream(permit.endpoint(), now_us);
            }
            attempt.pending_operation = PendingOperation::ReadStream(stream);
            attempt.silent_stream = None;
            self.handle_event(GenerationEvent::StreamOpened { generation });
        }
    }

    fn handle_permit(&mut self, permit: Box<dyn Permit>) {
        let shared = Arc::clone(&self.task.shared);
        let now_us = shared.clock.now_us();
        self.attempt = Attempt::default();
        self.task
            .metrics
            .observer()
            .record_queueing_time(now_us - self.permit_requested_us);
        let customer = &self.task.permit_request.customer;
        if !self
            .retry_state
            .count_attempt(&shared, customer, permit.endpoint())
        {
            permit.finish(PermitEnd::Cancelled, 0);
            self.handle_event(GenerationEvent::PermitRefused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: BUDGET_RETRY_AFTER_MS,
            }));
            return;
        }
        let stall_timeouts = shared.stall_timeouts(permit.endpoint());
        let generation = shared.next_generation_id();
        let revocation = permit.revocation();
        self.attempt = Attempt {
            generation: Some(generation),
            permit: Some(permit),
            revocation: revocation.map(|token| Box::pin(token.cancelled_owned())),
            ..Attempt::default()
        };
        self.handle_event(GenerationEvent::PermitGranted {
            generation,
            stall_timeouts,
        });
    }

    /// Handles the events of a chunk and sends the client the tokens in it.
    async fn handle_chunk(&mut self, generation: GenerationId, chunk: &Bytes) {
        let Some(attempt) = self.attempt_mut(generation) else {
            return;
        };
        let Some(mut stream) = attempt.take_stream() else {
            return;
        };
        let now_us = self.task.shared.clock.now_us();
        self.task.metrics.record_chunk(now_us);
        let permit = self
            .attempts()
            .find(|attempt| attempt.generation == Some(generation))
            .and_then(|attempt| attempt.permit.as_ref());
        self.task.metrics.observer().record_received_bytes(
            permit.and_then(|permit| permit.region()),
            chunk.len() as u64,
        );
        stream.read(chunk, |event| {
            self.handle_engine_event(now_us, generation, &event)
        });
        if let Some(attempt) = self.attempt_mut(generation) {
            attempt.put_back_stream(stream);
            let received_tokens = attempt.received_tokens;
            if let Some(permit) = &mut attempt.permit {
                permit.report_progress(received_tokens);
            }
        }
        if !self.task.response.flush().await {
            self.handle_event(GenerationEvent::ClientDisconnected);
        }
    }
}
