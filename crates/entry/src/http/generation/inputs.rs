use std::mem;
use std::sync::Arc;

use bytes::Bytes;
use names::GenerationId;

use super::{BUDGET_RETRY_AFTER_MS, DriverInput, GenerationDriver, PendingOperation};
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
        self.actions.contains(&GenerationAction::CloseConnection)
            && !is_cancellation
            && !is_complete
    }

    pub(super) async fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::ClientDisconnected => {
                self.handle_event(GenerationEvent::ClientDisconnected);
            }
            DriverInput::StreamOpened(Ok(stream)) => self.handle_stream_opened(stream),
            DriverInput::StreamOpened(Err(event)) => {
                self.pending_operation = PendingOperation::None;
                self.handle_event(event);
            }
            DriverInput::Permit(Ok(permit)) => self.handle_permit(permit),
            DriverInput::Permit(Err(refusal)) => {
                self.pending_operation = PendingOperation::None;
                self.handle_event(GenerationEvent::PermitRefused(refusal));
            }
            DriverInput::Chunk(Ok(chunk)) => self.handle_chunk(&chunk).await,
            DriverInput::Chunk(Err(point)) => self.handle_stream_failure(point),
            DriverInput::PermitRevoked => {
                self.revocation = None;
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
            self.task.response.push_token(*generation, *index, text);
            self.task.metrics.record_token(now_us);
            self.received_tokens = index + 1;
            self.actions.pop();
        }
        if self.is_stream_faulty(&call_event) {
            self.task.metrics.observer().record_dropped_connection();
        }
        self.actions.is_empty()
    }

    fn handle_stream_failure(&mut self, point: FailurePoint) {
        if let PendingOperation::ReadStream(stream) =
            mem::replace(&mut self.pending_operation, PendingOperation::None)
        {
            self.task.metrics.observer().record_dropped_connection();
            let generation = stream.generation;
            self.handle_event(GenerationEvent::ConnectionFailed { generation, point });
        }
    }

    fn handle_stream_opened(&mut self, stream: Box<EngineStream>) {
        let now_us = self.task.shared.clock.now_us();
        if let Some(permit) = &self.permit {
            self.task.metrics.start_stream(permit.endpoint(), now_us);
        }
        let generation = stream.generation;
        self.pending_operation = PendingOperation::ReadStream(stream);
        self.handle_event(GenerationEvent::StreamOpened { generation });
    }

    fn handle_permit(&mut self, permit: Box<dyn Permit>) {
        let shared = Arc::clone(&self.task.shared);
        let now_us = shared.clock.now_us();
        self.pending_operation = PendingOperation::None;
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
        self.revocation = permit
            .revocation()
            .map(|token| Box::pin(token.cancelled_owned()));
        self.permit = Some(permit);
        self.received_tokens = 0;
        self.handle_event(GenerationEvent::PermitGranted {
            generation: shared.next_generation_id(),
            stall_timeouts,
        });
    }

    /// Handles the events of a chunk and sends the client the tokens in it.
    async fn handle_chunk(&mut self, chunk: &Bytes) {
        let PendingOperation::ReadStream(mut stream) =
            mem::replace(&mut self.pending_operation, PendingOperation::None)
        else {
            return;
        };
        let now_us = self.task.shared.clock.now_us();
        self.task.metrics.record_chunk(now_us);
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.task
            .metrics
            .observer()
            .record_received_bytes(region, chunk.len() as u64);
        let generation = stream.generation;
        stream.read(chunk, |event| {
            self.handle_engine_event(now_us, generation, &event)
        });
        self.pending_operation = PendingOperation::ReadStream(stream);
        if let Some(permit) = &mut self.permit {
            permit.report_progress(self.received_tokens);
        }
        if !self.task.response.flush().await {
            self.handle_event(GenerationEvent::ClientDisconnected);
        }
    }
}
