use std::mem;
use std::sync::Arc;

use bytes::Bytes;
use names::GenerationId;

use super::{BUDGET_RETRY_AFTER_MS, Driver, Step, Waiting};
use crate::border::{End, Permit, Refusal, RefusalReason};
use crate::core::{Action, Event, FailurePoint, GenerationEnd, Status};
use crate::http::event_reader::EngineEvent;
use crate::http::link::Link;

impl Driver {
    /// Whether the call drops a link for what came over it.
    fn is_link_faulty(&self, event: &Event) -> bool {
        let is_end = match event {
            Event::Ended { end, .. } => *end == GenerationEnd::Cancelled,
            _ => false,
        };
        let is_complete = matches!(self.actions.last(), Some(Action::Complete { .. }));
        self.actions.contains(&Action::DropLink) && !is_end && !is_complete
    }

    pub(super) async fn take(&mut self, step: Step) {
        match step {
            Step::CallerGone => self.event(Event::CallerGone),
            Step::Opened(Ok(link)) => self.take_link(link),
            Step::Opened(Err(event)) => {
                self.waiting = Waiting::Nothing;
                self.event(event);
            }
            Step::Permit(Ok(permit)) => self.take_permit(permit),
            Step::Permit(Err(refusal)) => {
                self.waiting = Waiting::Nothing;
                self.event(Event::Refused(refusal));
            }
            Step::Piece(Ok(piece)) => self.take_piece(&piece).await,
            Step::Piece(Err(point)) => self.take_failure(point),
            Step::Revoked => {
                self.revoked = None;
                self.event(Event::Revoked);
            }
            Step::Tick => self.event(Event::Tick),
        }
    }

    /// Takes one event of the engine; whether the next one is wanted.
    fn take_engine(
        &mut self,
        now_us: u64,
        generation: GenerationId,
        event: &EngineEvent<'_>,
    ) -> bool {
        let whole_bytes = self.generation.shared.settings.limits.whole_bytes;
        let event_of_call = match event {
            EngineEvent::Token { index, .. }
                if self.generation.answer.held_bytes() <= whole_bytes =>
            {
                Event::Token {
                    generation,
                    index: *index,
                }
            }
            EngineEvent::Malformed | EngineEvent::Token { .. } => Event::Malformed { generation },
            EngineEvent::End { end, tokens } => Event::Ended {
                end: *end,
                generation,
                tokens: *tokens,
            },
            EngineEvent::Status(status) => {
                if *status == Status::Preempted {
                    self.generation.measures.observer().preempted();
                }
                Event::Status {
                    generation,
                    status: *status,
                }
            }
        };
        self.call.handle(now_us, event_of_call, &mut self.actions);
        if let (Some(Action::Deliver { generation, index }), EngineEvent::Token { text, .. }) =
            (self.actions.last(), event)
        {
            self.generation.answer.token(*generation, *index, text);
            self.generation.measures.token(now_us);
            self.received = index + 1;
            self.actions.pop();
        }
        if self.is_link_faulty(&event_of_call) {
            self.generation.measures.observer().connection_dropped();
        }
        self.actions.is_empty()
    }

    fn take_failure(&mut self, point: FailurePoint) {
        if let Waiting::Link(link) = mem::replace(&mut self.waiting, Waiting::Nothing) {
            self.generation.measures.observer().connection_dropped();
            let generation = link.generation;
            self.event(Event::LinkFailed { generation, point });
        }
    }

    fn take_link(&mut self, link: Box<Link>) {
        let now_us = self.generation.shared.clock.now_us();
        if let Some(permit) = &self.permit {
            self.generation.measures.begin(permit.endpoint(), now_us);
        }
        let generation = link.generation;
        self.waiting = Waiting::Link(link);
        self.event(Event::Opened { generation });
    }

    fn take_permit(&mut self, permit: Box<dyn Permit>) {
        let shared = Arc::clone(&self.generation.shared);
        let now_us = shared.clock.now_us();
        self.waiting = Waiting::Nothing;
        self.generation
            .measures
            .observer()
            .queued(now_us - self.queued_us);
        let customer = &self.generation.permit_request.customer;
        if !self.attempts.admit(&shared, customer, permit.endpoint()) {
            permit.finish(End::Cancelled, 0);
            self.event(Event::Refused(Refusal {
                reason: RefusalReason::RetryBudget,
                retry_after_ms: BUDGET_RETRY_AFTER_MS,
            }));
            return;
        }
        let patience = shared.patience(permit.endpoint());
        self.revoked = permit
            .revoked()
            .map(|token| Box::pin(token.cancelled_owned()));
        self.permit = Some(permit);
        self.received = 0;
        self.event(Event::Granted {
            generation: shared.next_generation(),
            patience,
        });
    }

    /// Takes the events of a piece, and hands the caller what follows.
    async fn take_piece(&mut self, piece: &Bytes) {
        let Waiting::Link(mut link) = mem::replace(&mut self.waiting, Waiting::Nothing) else {
            return;
        };
        let now_us = self.generation.shared.clock.now_us();
        self.generation.measures.heard(now_us);
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.generation
            .measures
            .observer()
            .received(region, piece.len() as u64);
        let generation = link.generation;
        link.read(piece, |event| self.take_engine(now_us, generation, &event));
        self.waiting = Waiting::Link(link);
        if let Some(permit) = &mut self.permit {
            permit.progressed(self.received);
        }
        if !self.generation.answer.flush().await {
            self.event(Event::CallerGone);
        }
    }
}
