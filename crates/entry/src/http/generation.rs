//! Drives one generation call: performs the actions of its core.

use std::future::pending;
use std::mem;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use names::{EndpointName, GenerationId};
use slog::{debug, info};
use tokio::select;
use tokio::time::{Sleep, sleep_until};
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::answer::Answer;
use super::event_reader::EngineEvent;
use super::link::{Dial, Link, StartBody, cancel};
use super::measures::Measures;
use super::problem::Problem;
use super::shared::{Running, Shared};
use crate::border::{End, Permit, PermitRequest, Refusal};
use crate::core::{Action, Call, Event, Failure, FailurePoint, GenerationEnd, Mode, Status};

/// When a request may be repeated whose budget of retries is spent.
const BUDGET_RETRY_AFTER_MS: u64 = 2_000;

/// What one generation call needs.
pub(crate) struct Generation {
    pub(crate) answer: Answer,
    pub(crate) deadline_us: u64,
    pub(crate) measures: Measures,
    pub(crate) mode: Mode,
    pub(crate) model: String,
    pub(crate) permit_request: PermitRequest,
    pub(crate) prompt: String,
    pub(crate) shared: Arc<Shared>,
}

/// Call in progress.
struct Driver {
    actions: Vec<Action>,
    call: Call,
    /// When the permit was asked for.
    queued_us: u64,
    generation: Generation,
    has_deposited: bool,
    last_endpoint: Option<EndpointName>,
    permit: Option<Box<dyn Permit>>,
    received: u32,
    revoked: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    timer: Pin<Box<Sleep>>,
    waiting: Waiting,
}

/// What the driver waits for.
enum Waiting {
    Link(Box<Link>),
    Nothing,
    Open(BoxFuture<'static, Result<Box<Link>, Event>>),
    Permit(BoxFuture<'static, Result<Box<dyn Permit>, Refusal>>),
}

enum Step {
    CallerGone,
    Opened(Result<Box<Link>, Event>),
    Permit(Result<Box<dyn Permit>, Refusal>),
    Piece(Result<Bytes, FailurePoint>),
    Revoked,
    Tick,
}

impl Waiting {
    async fn step(&mut self) -> Step {
        match self {
            Self::Link(link) => Step::Piece(link.piece().await),
            Self::Nothing => pending().await,
            Self::Open(open) => Step::Opened(open.await),
            Self::Permit(permit) => Step::Permit(permit.await),
        }
    }
}

impl Generation {
    /// Runs the call to its end.
    pub(crate) async fn run(self, running: Running) {
        let mut actions = Vec::new();
        let seed = self.shared.next_seed();
        let call = Call::open(self.mode, self.deadline_us, seed, &mut actions);
        let wake = self.shared.clock.instant(call.wake_us());
        let mut driver = Driver {
            actions,
            call,
            queued_us: 0,
            generation: self,
            has_deposited: false,
            last_endpoint: None,
            permit: None,
            received: 0,
            revoked: None,
            timer: Box::pin(sleep_until(wake)),
            waiting: Waiting::Nothing,
        };
        driver.perform().await;
        while !driver.call.is_over() {
            let step = driver.step().await;
            driver.take(step).await;
            driver.perform().await;
        }
        drop(running);
    }
}

impl Driver {
    fn acquire(&mut self) {
        let shared = Arc::clone(&self.generation.shared);
        let now_us = shared.clock.now_us();
        let mut request = self.generation.permit_request.clone();
        request.timeout_ms = self.generation.deadline_us.saturating_sub(now_us) / 1_000;
        self.queued_us = now_us;
        self.waiting = Waiting::Permit(Box::pin(async move {
            shared.border.permits.acquire(&request).await
        }));
    }

    fn ask_budget(&mut self) {
        let endpoint = self.last_endpoint.as_ref();
        let customer = &self.generation.permit_request.customer;
        let granted = endpoint.is_some_and(|endpoint| {
            self.generation
                .shared
                .budgets()
                .withdraw(customer, endpoint)
        });
        if granted {
            self.generation.measures.observer().restarted();
            self.event(Event::BudgetGranted);
        } else {
            self.event(Event::BudgetDenied {
                retry_after_ms: BUDGET_RETRY_AFTER_MS,
            });
        }
    }

    fn cancel(&self, generation: GenerationId) {
        let Some(permit) = &self.permit else {
            return;
        };
        let shared = &self.generation.shared;
        let log = shared.settings.log.clone();
        shared
            .background
            .spawn(cancel(permit.address(), generation, log));
    }

    fn dial(&self, generation: GenerationId) -> Option<Dial> {
        let limits = &self.generation.shared.settings.limits;
        let permit = self.permit.as_ref()?;
        Some(Dial {
            address: permit.address(),
            connect: Duration::from_millis(limits.connect_ms),
            generation,
            line_bytes_max: limits.line_bytes,
        })
    }

    fn event(&mut self, event: Event) {
        let now_us = self.generation.shared.clock.now_us();
        self.call.handle(now_us, event, &mut self.actions);
    }

    async fn fail(&mut self, failure: Failure) {
        let request = &self.generation.permit_request;
        info!(self.generation.shared.settings.log, "request failed";
            "customer" => %request.customer, "kind" => %request.kind,
            "cause" => failure.cause.as_str(), "outcome" => failure.outcome.as_str(),
            "delivered_tokens" => failure.delivered_tokens);
        self.generation.answer.fail(failure).await;
    }

    /// Performs all actions, also those that follow from them.
    async fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                self.perform_one(action).await;
            }
        }
    }

    async fn perform_one(&mut self, action: Action) {
        match action {
            Action::Acquire => self.acquire(),
            Action::AskBudget => self.ask_budget(),
            Action::Cancel { generation } => self.cancel(generation),
            Action::Complete { end, tokens } => {
                self.generation.answer.complete(end, tokens).await;
            }
            Action::Deliver { .. } => unreachable!("tokens are delivered where they are read"),
            Action::Discard => self.generation.answer.discard(),
            Action::DropLink => {
                self.waiting = Waiting::Nothing;
                self.generation.measures.flush();
            }
            Action::Fail(failure) => self.fail(failure).await,
            Action::Refuse(refusal) => self.refuse(refusal),
            Action::Release { end, tokens } => self.release(end, tokens),
            Action::Resume { from, generation } => self.resume(generation, from),
            Action::Start { generation } => self.start(generation),
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.generation.measures.observer().refused(refusal.reason);
        let request = &self.generation.permit_request;
        debug!(self.generation.shared.settings.log, "request refused";
            "customer" => %request.customer, "kind" => %request.kind,
            "reason" => refusal.reason.as_str(), "retry_after_ms" => refusal.retry_after_ms);
        self.generation.answer.refuse(&Problem::refused(refusal));
    }

    fn release(&mut self, end: End, tokens: u32) {
        self.revoked = None;
        let Some(permit) = self.permit.take() else {
            return;
        };
        if matches!(end, End::Failed | End::Refused) {
            self.remember_failed(permit.endpoint());
        }
        permit.finish(end, tokens);
    }

    fn remember_failed(&mut self, endpoint: &EndpointName) {
        let failed = &mut self.generation.permit_request.failed;
        if let Err(position) = failed.binary_search(endpoint) {
            failed.insert(position, endpoint.clone());
        }
    }

    fn resume(&mut self, generation: GenerationId, from: u32) {
        if let Some(dial) = self.dial(generation) {
            self.generation.measures.observer().resumed();
            self.waiting = Waiting::Open(Box::pin(dial.resume(from)));
        }
    }

    fn start(&mut self, generation: GenerationId) {
        let body = StartBody {
            max_tokens: self.generation.permit_request.max_tokens,
            model: &self.generation.model,
            priority: self.permit.as_ref().map_or(0, |permit| permit.priority()),
            prompt: &self.generation.prompt,
        };
        let body = serde_json::to_vec(&body).expect("a start is written to memory");
        if let Some(dial) = self.dial(generation) {
            self.waiting = Waiting::Open(Box::pin(dial.start(body)));
        }
    }

    async fn step(&mut self) -> Step {
        let wake = self.generation.shared.clock.instant(self.call.wake_us());
        if wake < self.timer.deadline() || self.timer.is_elapsed() {
            self.timer.as_mut().reset(wake);
        }
        let revoked = async {
            match &mut self.revoked {
                Some(revoked) => revoked.as_mut().await,
                None => pending().await,
            }
        };
        select! {
            biased;
            () = self.generation.answer.gone() => Step::CallerGone,
            () = revoked => Step::Revoked,
            () = self.timer.as_mut() => Step::Tick,
            step = self.waiting.step() => step,
        }
    }

    async fn take(&mut self, step: Step) {
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
        if !self.has_deposited {
            self.has_deposited = true;
            let customer = &self.generation.permit_request.customer;
            shared.budgets().deposit(customer, permit.endpoint());
        }
        let patience = shared.patience(permit.endpoint());
        self.last_endpoint = Some(permit.endpoint().clone());
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

    /// Whether the call drops a link for what came over it.
    fn is_link_faulty(&self, event: &Event) -> bool {
        let is_end = match event {
            Event::Ended { end, .. } => *end == GenerationEnd::Cancelled,
            _ => false,
        };
        let is_complete = matches!(self.actions.last(), Some(Action::Complete { .. }));
        self.actions.contains(&Action::DropLink) && !is_end && !is_complete
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
}
