//! Drives one generation call: performs the actions of its core.

mod inputs;

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

use crate::core::{
    Failure, FailurePoint, GenerationAction, GenerationCall, GenerationEvent, ResponseMode,
};
use crate::dependencies::{Permit, PermitEnd, PermitRequest, Refusal};
use crate::http::engine_stream::{EngineRequest, EngineStream, StartBody, cancel};
use crate::http::generation_response::GenerationResponse;
use crate::http::problem::Problem;
use crate::http::request_metrics::RequestMetrics;
use crate::http::retry_state::RetryState;
use crate::http::shared_state::{RunningRequest, SharedState};

/// When a request may be repeated whose budget of retries is spent.
const BUDGET_RETRY_AFTER_MS: u64 = 2_000;

/// What one generation call needs.
pub(crate) struct GenerationTask {
    pub(crate) answer: GenerationResponse,
    pub(crate) deadline_us: u64,
    pub(crate) metrics: RequestMetrics,
    pub(crate) mode: ResponseMode,
    pub(crate) model: String,
    pub(crate) permit_request: PermitRequest,
    pub(crate) prompt: String,
    pub(crate) shared: Arc<SharedState>,
}

/// Call in progress.
struct GenerationDriver {
    actions: Vec<GenerationAction>,
    attempts: RetryState,
    call: GenerationCall,
    /// When the permit was asked for.
    queued_us: u64,
    generation: GenerationTask,
    permit: Option<Box<dyn Permit>>,
    received: u32,
    revoked: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    timer: Pin<Box<Sleep>>,
    waiting: PendingOperation,
}

/// What the driver waits for.
enum PendingOperation {
    EngineStream(Box<EngineStream>),
    Nothing,
    Open(BoxFuture<'static, Result<Box<EngineStream>, GenerationEvent>>),
    Permit(BoxFuture<'static, Result<Box<dyn Permit>, Refusal>>),
}

enum DriverInput {
    CallerGone,
    Opened(Result<Box<EngineStream>, GenerationEvent>),
    Permit(Result<Box<dyn Permit>, Refusal>),
    BodyChunk(Result<Bytes, FailurePoint>),
    Revoked,
    Tick,
}

impl PendingOperation {
    async fn step(&mut self) -> DriverInput {
        match self {
            Self::EngineStream(link) => DriverInput::BodyChunk(link.piece().await),
            Self::Nothing => pending().await,
            Self::Open(open) => DriverInput::Opened(open.await),
            Self::Permit(permit) => DriverInput::Permit(permit.await),
        }
    }
}

impl GenerationTask {
    /// Runs the call to its end.
    pub(crate) fn run(self, running: RunningRequest) -> impl Future<Output = ()> {
        let mut driver = GenerationDriver::new(self);
        async move {
            driver.run().await;
            drop(running);
        }
    }
}

impl GenerationDriver {
    fn acquire(&mut self) {
        let shared = Arc::clone(&self.generation.shared);
        let mut request = self.generation.permit_request.clone();
        request.timeout_ms = self.timeout_ms();
        self.queued_us = shared.clock.now_us();
        self.waiting = PendingOperation::Permit(Box::pin(async move {
            shared.dependencies.permits.acquire(&request).await
        }));
    }

    fn ask_budget(&mut self) {
        let customer = &self.generation.permit_request.customer;
        if self.attempts.retry(&self.generation.shared, customer) {
            self.generation.metrics.observer().record_restart();
            self.event(GenerationEvent::BudgetGranted);
        } else {
            self.event(GenerationEvent::BudgetDenied {
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

    fn dial(&self, generation: GenerationId) -> Option<EngineRequest> {
        let limits = &self.generation.shared.settings.limits;
        let permit = self.permit.as_ref()?;
        Some(EngineRequest {
            address: permit.address(),
            connect: Duration::from_millis(limits.connect_timeout_ms),
            generation,
            line_bytes_max: limits.line_bytes_max,
            timeout_ms: self.timeout_ms(),
        })
    }

    fn event(&mut self, event: GenerationEvent) {
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

    fn new(generation: GenerationTask) -> Self {
        let mut actions = Vec::new();
        let seed = generation.shared.next_seed();
        let call =
            GenerationCall::start(generation.mode, generation.deadline_us, seed, &mut actions);
        let wake = generation.shared.clock.instant(call.next_tick_us());
        Self {
            actions,
            attempts: RetryState::First,
            call,
            queued_us: 0,
            generation,
            permit: None,
            received: 0,
            revoked: None,
            timer: Box::pin(sleep_until(wake)),
            waiting: PendingOperation::Nothing,
        }
    }

    /// Performs all actions, also those that follow from them.
    async fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                // Boxed, as the task of a stream holds room for its largest step for as long as it runs.
                Box::pin(self.perform_one(action)).await;
            }
        }
    }

    async fn perform_one(&mut self, action: GenerationAction) {
        match action {
            GenerationAction::AcquirePermit => self.acquire(),
            GenerationAction::RequestRetry => self.ask_budget(),
            GenerationAction::Cancel { generation } => self.cancel(generation),
            GenerationAction::Complete { reason, tokens } => {
                self.generation.answer.complete(reason, tokens).await;
            }
            GenerationAction::Deliver { .. } => {
                unreachable!("tokens are delivered where they are read")
            }
            GenerationAction::DiscardTokens => self.generation.answer.discard(),
            GenerationAction::CloseConnection => {
                self.waiting = PendingOperation::Nothing;
                self.generation.metrics.flush();
            }
            GenerationAction::Fail(failure) => self.fail(failure).await,
            GenerationAction::Refuse(refusal) => self.refuse(refusal),
            GenerationAction::ReleasePermit { end, tokens } => self.release(end, tokens),
            GenerationAction::Resume { from, generation } => self.resume(generation, from),
            GenerationAction::Start { generation } => self.start(generation),
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.generation
            .metrics
            .observer()
            .record_refusal(refusal.reason);
        let request = &self.generation.permit_request;
        debug!(self.generation.shared.settings.log, "request refused";
            "customer" => %request.customer, "kind" => %request.kind,
            "reason" => refusal.reason.as_str(), "retry_after_ms" => refusal.retry_after_ms);
        self.generation.answer.refuse(&Problem::refused(refusal));
    }

    fn release(&mut self, end: PermitEnd, tokens: u32) {
        self.revoked = None;
        let Some(permit) = self.permit.take() else {
            return;
        };
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            self.remember_failed(permit.endpoint());
        }
        permit.finish(end, tokens);
    }

    fn remember_failed(&mut self, endpoint: &EndpointName) {
        let failed = &mut self.generation.permit_request.failed_endpoints;
        if let Err(position) = failed.binary_search(endpoint) {
            failed.insert(position, endpoint.clone());
        }
    }

    fn resume(&mut self, generation: GenerationId, from: u32) {
        if let Some(dial) = self.dial(generation) {
            self.generation.metrics.observer().record_resume();
            self.waiting = PendingOperation::Open(Box::pin(dial.resume(from)));
        }
    }

    async fn run(&mut self) {
        self.perform().await;
        while !self.call.is_finished() {
            let step = self.step().await;
            self.take(step).await;
            self.perform().await;
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
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.generation
            .metrics
            .observer()
            .record_sent_bytes(region, body.len() as u64);
        if let Some(dial) = self.dial(generation) {
            self.waiting = PendingOperation::Open(Box::pin(dial.start(body)));
        }
    }

    async fn step(&mut self) -> DriverInput {
        let wake = self
            .generation
            .shared
            .clock
            .instant(self.call.next_tick_us());
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
            () = self.generation.answer.gone() => DriverInput::CallerGone,
            () = revoked => DriverInput::Revoked,
            () = self.timer.as_mut() => DriverInput::Tick,
            step = self.waiting.step() => step,
        }
    }
    fn timeout_ms(&self) -> u64 {
        let now_us = self.generation.shared.clock.now_us();
        self.generation.deadline_us.saturating_sub(now_us) / 1_000
    }
}
