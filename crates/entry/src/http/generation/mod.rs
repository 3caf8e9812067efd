//! Performs the actions of one [`GenerationCall`] and feeds it the events that follow.

mod attempt;
mod inputs;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::{iter, mem};

use attempt::{Attempt, PendingOperation};
use bytes::Bytes;
use names::{EndpointName, GenerationId};
use slog::{debug, info};
use tokio::select;
use tokio::time::{Sleep, sleep_until};

use crate::core::{
    CallFailure, FailurePoint, GenerationAction, GenerationCall, GenerationEvent, ResponseMode,
};
use crate::dependencies::{Permit, PermitEnd, PermitRequest, Refusal};
use crate::http::engine_stream::{EngineRequest, EngineStream, StartBody, cancel_generation};
use crate::http::generation_response::GenerationResponse;
use crate::http::problem::Problem;
use crate::http::request_metrics::RequestMetrics;
use crate::http::retry_state::RetryState;
use crate::http::shared_state::{RunningRequest, SharedState};

/// Retry delay reported to clients whose retry budget is spent.
const BUDGET_RETRY_AFTER_MS: u64 = 2_000;

/// A generation request that is admitted and ready to run.
pub(crate) struct GenerationTask {
    pub(crate) deadline_us: u64,
    pub(crate) metrics: RequestMetrics,
    pub(crate) mode: ResponseMode,
    pub(crate) model: String,
    pub(crate) permit_request: PermitRequest,
    pub(crate) prompt: String,
    pub(crate) response: GenerationResponse,
    pub(crate) shared: Arc<SharedState>,
}

/// Running generation request, with its I/O and timer.
struct GenerationDriver {
    /// Actions of `call` that are not performed yet.
    actions: Vec<GenerationAction>,
    /// The running attempt, or the one for which a permit is awaited.
    attempt: Attempt,
    call: GenerationCall,
    /// Attempts that may still answer while another one is sought or opened.
    kept_attempts: Vec<Attempt>,
    permit_requested_us: u64,
    retry_state: RetryState,
    task: GenerationTask,
    timer: Pin<Box<Sleep>>,
}

/// Input that ends a wait of the driver.
enum DriverInput {
    Chunk {
        chunk: Result<Bytes, FailurePoint>,
        generation: GenerationId,
    },
    ClientDisconnected,
    Permit(Result<Box<dyn Permit>, Refusal>),
    PermitRevoked,
    StreamOpened(Result<Box<EngineStream>, GenerationEvent>),
    Tick,
}

impl GenerationTask {
    /// Runs the generation until its response is complete or has failed.
    pub(crate) fn run(self, running_request: RunningRequest) -> impl Future<Output = ()> {
        let mut driver = GenerationDriver::new(self);
        async move {
            driver.run().await;
            drop(running_request);
        }
    }
}

impl GenerationDriver {
    fn acquire_permit(&mut self) {
        let shared = Arc::clone(&self.task.shared);
        let mut request = self.task.permit_request.clone();
        request.timeout_ms = self.timeout_ms();
        self.permit_requested_us = shared.clock.now_us();
        self.attempt = Attempt {
            pending_operation: PendingOperation::AcquirePermit(Box::pin(async move {
                shared.dependencies.permits.acquire(&request).await
            })),
            ..Attempt::default()
        };
    }

    fn request_retry(&mut self) {
        let customer = &self.task.permit_request.customer;
        if self.retry_state.request_retry(&self.task.shared, customer) {
            self.task.metrics.observer().record_restart();
            self.handle_event(GenerationEvent::BudgetGranted);
        } else {
            self.handle_event(GenerationEvent::BudgetDenied {
                retry_after_ms: BUDGET_RETRY_AFTER_MS,
            });
        }
    }

    fn cancel(&self, generation: GenerationId) {
        let attempt = self
            .attempts()
            .find(|attempt| attempt.generation == Some(generation));
        let Some(permit) = attempt.and_then(|attempt| attempt.permit.as_ref()) else {
            return;
        };
        let shared = &self.task.shared;
        let log = shared.settings.log.clone();
        shared
            .background_tasks
            .spawn(cancel_generation(permit.address(), generation, log));
    }

    /// The running attempt and the kept ones.
    fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        iter::once(&self.attempt).chain(&self.kept_attempts)
    }

    fn attempt_mut(&mut self, generation: GenerationId) -> Option<&mut Attempt> {
        iter::once(&mut self.attempt)
            .chain(&mut self.kept_attempts)
            .find(|attempt| attempt.generation == Some(generation))
    }

    fn engine_request(&self, generation: GenerationId) -> Option<EngineRequest> {
        let limits = &self.task.shared.settings.limits;
        let permit = self.attempt.permit.as_ref()?;
        Some(EngineRequest {
            address: permit.address(),
            connect_timeout: Duration::from_millis(limits.connect_timeout_ms),
            generation,
            line_bytes_max: limits.line_bytes_max,
            timeout_ms: self.timeout_ms(),
        })
    }

    fn handle_event(&mut self, event: GenerationEvent) {
        let now_us = self.task.shared.clock.now_us();
        self.call.handle(now_us, event, &mut self.actions);
    }

    async fn fail(&mut self, failure: CallFailure) {
        let request = &self.task.permit_request;
        info!(self.task.shared.settings.log, "generation failed";
            "customer" => %request.customer, "kind" => %request.kind,
            "cause" => failure.cause.as_str(), "outcome" => failure.outcome.as_str(),
            "delivered_tokens" => failure.delivered_tokens);
        self.task.response.fail(failure).await;
    }

    fn new(task: GenerationTask) -> Self {
        let mut actions = Vec::new();
        let seed = task.shared.next_seed();
        let call = GenerationCall::start(task.mode, task.deadline_us, seed, &mut actions);
        let next_tick = task.shared.clock.instant(call.next_tick_us());
        Self {
            actions,
            attempt: Attempt::default(),
            call,
            kept_attempts: Vec::new(),
            permit_requested_us: 0,
            retry_state: RetryState::FirstAttempt,
            task,
            timer: Box::pin(sleep_until(next_tick)),
        }
    }

    /// Performs all actions, also the further actions that they cause.
    async fn perform_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                // Boxed, or a stream's task would keep memory for its largest action.
                Box::pin(self.perform_action(action)).await;
            }
        }
    }

    async fn perform_action(&mut self, action: GenerationAction) {
        match action {
            GenerationAction::Complete { reason, tokens } => {
                self.task.response.complete(reason, tokens).await;
            }
            GenerationAction::Fail(failure) => self.fail(failure).await,
            action => self.perform_local_action(action),
        }
    }

    /// Performs an action that does not write to the client.
    fn perform_local_action(&mut self, action: GenerationAction) {
        match action {
            GenerationAction::AcquirePermit => self.acquire_permit(),
            GenerationAction::RequestRetry => self.request_retry(),
            GenerationAction::Cancel { generation } => self.cancel(generation),
            GenerationAction::Complete { .. } | GenerationAction::Fail(_) => {
                unreachable!("final responses are written by the caller")
            }
            GenerationAction::Deliver { .. } => {
                unreachable!("tokens are delivered when their engine event is handled")
            }
            GenerationAction::DiscardTokens => self.task.response.discard(),
            GenerationAction::AbandonResume => {
                self.log_decision("resume of silent stream abandoned", &self.attempt);
                self.attempt.abandon_resume();
            }
            GenerationAction::CloseConnection => {
                self.attempt.close_connections();
                self.task.metrics.flush();
            }
            GenerationAction::CloseSilentStream => {
                self.log_decision("silent stream failed while being resumed", &self.attempt);
                self.attempt.silent_stream = None;
            }
            GenerationAction::Keep { has_stalled, .. } => self.keep(has_stalled),
            GenerationAction::Reinstate { generation } => self.reinstate(generation),
            GenerationAction::Refuse(refusal) => self.refuse(refusal),
            GenerationAction::ReleasePermit { end, tokens } => self.release_permit(end, tokens),
            GenerationAction::Resume { from, generation } => self.resume(generation, from),
            GenerationAction::Start { generation } => self.start(generation),
            GenerationAction::StopKept {
                end,
                generation,
                tokens,
            } => self.stop_kept(generation, end, tokens),
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.task.metrics.observer().record_refusal(refusal.reason);
        let request = &self.task.permit_request;
        debug!(self.task.shared.settings.log, "request refused";
            "customer" => %request.customer, "kind" => %request.kind,
            "reason" => refusal.reason.as_str(), "retry_after_ms" => refusal.retry_after_ms);
        self.task.response.refuse(&Problem::refused(refusal));
    }

    fn release_permit(&mut self, end: PermitEnd, tokens: u32) {
        self.attempt.revocation = None;
        if let Some(permit) = self.attempt.permit.take() {
            self.finish_permit(permit, end, tokens);
        }
    }

    fn finish_permit(&mut self, permit: Box<dyn Permit>, end: PermitEnd, tokens: u32) {
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            self.add_failed_endpoint(permit.endpoint());
        }
        permit.finish(end, tokens);
    }

    /// Keeps the running attempt; further ones avoid its endpoint if it has stalled.
    fn keep(&mut self, has_stalled: bool) {
        let attempt = mem::take(&mut self.attempt);
        let event = if has_stalled {
            "silent generation kept"
        } else {
            "generation with revoked permit kept"
        };
        self.log_decision(event, &attempt);
        if let Some(permit) = &attempt.permit
            && has_stalled
        {
            self.add_failed_endpoint(permit.endpoint());
        }
        self.kept_attempts.push(attempt);
    }

    fn reinstate(&mut self, generation: GenerationId) {
        if let Some(attempt) = self.take_kept(generation) {
            self.log_decision("kept generation reinstated", &attempt);
            self.attempt = attempt;
        }
    }

    fn stop_kept(&mut self, generation: GenerationId, end: PermitEnd, tokens: u32) {
        let Some(mut attempt) = self.take_kept(generation) else {
            return;
        };
        self.log_decision("kept generation stopped", &attempt);
        if let Some(permit) = attempt.permit.take() {
            self.finish_permit(permit, end, tokens);
        }
    }

    fn take_kept(&mut self, generation: GenerationId) -> Option<Attempt> {
        let position = self
            .kept_attempts
            .iter()
            .position(|attempt| attempt.generation == Some(generation))?;
        Some(self.kept_attempts.remove(position))
    }

    /// Logs what is done about an attempt that is silent or kept.
    fn log_decision(&self, event: &str, attempt: &Attempt) {
        let (Some(generation), Some(permit)) = (attempt.generation, &attempt.permit) else {
            return;
        };
        let request = &self.task.permit_request;
        info!(self.task.shared.settings.log, "{}", event;
            "customer" => %request.customer, "kind" => %request.kind,
            "generation" => %generation, "endpoint" => %permit.endpoint(),
            "received_tokens" => attempt.received_tokens);
    }

    fn add_failed_endpoint(&mut self, endpoint: &EndpointName) {
        let failed = &mut self.task.permit_request.failed_endpoints;
        if let Err(position) = failed.binary_search(endpoint) {
            failed.insert(position, endpoint.clone());
        }
    }

    fn resume(&mut self, generation: GenerationId, from: u32) {
        if let Some(request) = self.engine_request(generation) {
            self.task.metrics.observer().record_resume();
            if self.attempt.has_stream() {
                self.log_decision("silent stream kept and resumed", &self.attempt);
            }
            self.attempt.open_stream(Box::pin(request.resume(from)));
        }
    }

    async fn run(&mut self) {
        self.perform_actions().await;
        while !self.call.is_finished() {
            let input = self.next_input().await;
            self.handle_input(input).await;
            self.perform_actions().await;
        }
    }

    fn start(&mut self, generation: GenerationId) {
        let permit = self.attempt.permit.as_ref();
        let body = StartBody {
            max_tokens: self.task.permit_request.max_tokens,
            model: &self.task.model,
            priority: permit.map_or(0, |permit| permit.priority()),
            prompt: &self.task.prompt,
        };
        let body = serde_json::to_vec(&body).expect("a start body is serialised to memory");
        let region = permit.and_then(|permit| permit.region());
        self.task
            .metrics
            .observer()
            .record_sent_bytes(region, body.len() as u64);
        if let Some(request) = self.engine_request(generation) {
            self.attempt.open_stream(Box::pin(request.start(body)));
        }
    }

    async fn next_input(&mut self) -> DriverInput {
        let next_tick = self.task.shared.clock.instant(self.call.next_tick_us());
        if next_tick < self.timer.deadline() || self.timer.is_elapsed() {
            self.timer.as_mut().reset(next_tick);
        }
        select! {
            biased;
            () = self.task.response.client_disconnected() => DriverInput::ClientDisconnected,
            () = self.timer.as_mut() => DriverInput::Tick,
            input = self.attempt.next_input() => input,
            input = Attempt::next_input_of_any(&mut self.kept_attempts) => input,
        }
    }

    fn timeout_ms(&self) -> u64 {
        let now_us = self.task.shared.clock.now_us();
        self.task.deadline_us.saturating_sub(now_us) / 1_000
    }
}
