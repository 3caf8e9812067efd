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
    /// Whether the call drops a link for what came over it.
    fn is_link_faulty(&self, event: &GenerationEvent) -> bool {
        let is_end = match event {
            GenerationEvent::GenerationEnded { reason, .. } => *reason == FinishReason::Cancelled,
            _ => false,
        };
        let is_complete = matches!(self.actions.last(), Some(GenerationAction::Complete { .. }));
        self.actions.contains(&GenerationAction::CloseConnection) && !is_end && !is_complete
    }

    pub(super) async fn take(&mut self, step: DriverInput) {
        match step {
            DriverInput::CallerGone => self.event(GenerationEvent::ClientDisconnected),
            DriverInput::Opened(Ok(link)) => self.take_link(link),
            DriverInput::Opened(Err(event)) => {
                self.waiting = PendingOperation::Nothing;
                self.event(event);
            }
            DriverInput::Permit(Ok(permit)) => self.take_permit(permit),
            DriverInput::Permit(Err(refusal)) => {
                self.waiting = PendingOperation::Nothing;
                self.event(GenerationEvent::PermitRefused(refusal));
            }
            DriverInput::BodyChunk(Ok(piece)) => self.take_piece(&piece).await,
            DriverInput::BodyChunk(Err(point)) => self.take_failure(point),
            DriverInput::Revoked => {
                self.revoked = None;
                self.event(GenerationEvent::PermitRevoked);
            }
            DriverInput::Tick => self.event(GenerationEvent::Tick),
        }
    }

    /// Takes one event of the engine; whether the next one is wanted.
    fn take_engine(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        event: &EngineEvent<'_>,
    ) -> bool {
        let whole_bytes = self.generation.shared.settings.limits.buffered_bytes_max;
        let event_of_call = match event {
            EngineEvent::Token { index, .. }
                if self.generation.answer.held_bytes() <= whole_bytes =>
            {
                GenerationEvent::Token {
                    generation,
                    index: *index,
                }
            }
            EngineEvent::Malformed | EngineEvent::Token { .. } => {
                GenerationEvent::MalformedResponse { generation }
            }
            EngineEvent::End { end, tokens } => GenerationEvent::GenerationEnded {
                generation,
                reason: *end,
                tokens: *tokens,
            },
            EngineEvent::Status(status) => {
                if *status == GenerationStatus::Preempted {
                    self.generation.metrics.observer().record_preemption();
                }
                GenerationEvent::Status {
                    generation,
                    status: *status,
                }
            }
        };
        self.call.handle(now_us, event_of_call, &mut self.actions);
        if let (
            Some(GenerationAction::Deliver { generation, index }),
            EngineEvent::Token { text, .. },
        ) = (self.actions.last(), event)
        {
            self.generation.answer.token(*generation, *index, text);
            self.generation.metrics.token(now_us);
            self.received = index + 1;
            self.actions.pop();
        }
        if self.is_link_faulty(&event_of_call) {
            self.generation
                .metrics
                .observer()
                .record_dropped_connection();
        }
        self.actions.is_empty()
    }

    fn take_failure(&mut self, point: FailurePoint) {
        if let PendingOperation::EngineStream(link) =
            mem::replace(&mut self.waiting, PendingOperation::Nothing)
        {
            self.generation
                .metrics
                .observer()
                .record_dropped_connection();
            let generation = link.generation;
            self.event(GenerationEvent::ConnectionFailed { generation, point });
        }
    }

    fn take_link(&mut self, link: Box<EngineStream>) {
        let now_us = self.generation.shared.clock.now_us();
        if let Some(permit) = &self.permit {
            self.generation.metrics.begin(permit.endpoint(), now_us);
        }
        let generation = link.generation;
        self.waiting = PendingOperation::EngineStream(link);
        self.event(GenerationEvent::StreamOpened { generation });
    }

    fn take_permit(&mut self, permit: Box<dyn Permit>) {
        let shared = Arc::clone(&self.generation.shared);
        let now_us = shared.clock.now_us();
        self.waiting = PendingOperation::Nothing;
        self.generation
            .metrics
            .observer()
            .record_queueing_time(now_us - self.queued_us);
        let customer = &self.generation.permit_request.customer;
        if !self.attempts.admit(&shared, customer, permit.endpoint()) {
            permit.finish(PermitEnd::Cancelled, 0);
            self.event(GenerationEvent::PermitRefused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: BUDGET_RETRY_AFTER_MS,
            }));
            return;
        }
        let stall_timeouts = shared.stall_timeouts(permit.endpoint());
        self.revoked = permit
            .revocation()
            .map(|token| Box::pin(token.cancelled_owned()));
        self.permit = Some(permit);
        self.received = 0;
        self.event(GenerationEvent::PermitGranted {
            generation: shared.next_generation(),
            stall_timeouts,
        });
    }

    /// Takes the events of a piece, and hands the caller what follows.
    async fn take_piece(&mut self, piece: &Bytes) {
        let PendingOperation::EngineStream(mut link) =
            mem::replace(&mut self.waiting, PendingOperation::Nothing)
        else {
            return;
        };
        let now_us = self.generation.shared.clock.now_us();
        self.generation.metrics.heard(now_us);
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.generation
            .metrics
            .observer()
            .record_received_bytes(region, piece.len() as u64);
        let generation = link.generation;
        link.read(piece, |event| self.take_engine(now_us, generation, &event));
        self.waiting = PendingOperation::EngineStream(link);
        if let Some(permit) = &mut self.permit {
            permit.report_progress(self.received);
        }
        if !self.generation.answer.flush().await {
            self.event(GenerationEvent::ClientDisconnected);
        }
    }
}
