//! Drives one call of a plain service.

mod endpoint_response;
mod inputs;

use std::future::pending;
use std::mem;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use slog::{info, warn};
use tokio::select;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use self::endpoint_response::{
    EndpointResponse, answered, collect, conflict, relay, replayed, stored,
};
use crate::core::{Failure, FailurePoint, RetryPolicy, ServiceAction, ServiceCall, ServiceEvent};
use crate::dependencies::{
    ClaimRequest, ClaimResponse, ClassObserver, Permit, PermitEnd, PermitRequest, Refusal,
    StoredResponse,
};
use crate::http::body::BodyChunk;
use crate::http::exchange::{Exchange, ReadBuffer};
use crate::http::headers::{CALL, CUSTOMER, TIMEOUT_MS};
use crate::http::problem::Problem;
use crate::http::response_sender::ResponseSender;
use crate::http::retry_state::RetryState;
use crate::http::shared_state::{RunningRequest, SharedState};

/// When a call may be repeated that another request runs, or whose budget of retries is spent.
const RETRY_AFTER_MS: u64 = 2_000;

/// What one service call needs.
pub(crate) struct ServiceTask {
    pub(crate) body: Bytes,
    pub(crate) response_sender: ResponseSender,
    pub(crate) claim: ClaimRequest,
    pub(crate) deadline_us: u64,
    /// Method and forwarded headers; the target is the endpoint's own path.
    pub(crate) head: Parts,
    pub(crate) observer: Arc<dyn ClassObserver>,
    pub(crate) permit_request: PermitRequest,
    pub(crate) repeat: RetryPolicy,
    pub(crate) shared: Arc<SharedState>,
}

/// Call in progress.
struct ServiceDriver {
    actions: Vec<ServiceAction>,
    answer: Option<EndpointResponse>,
    attempts: RetryState,
    call: ServiceCall,
    permit: Option<Box<dyn Permit>>,
    queued_us: u64,
    service: ServiceTask,
    stored: Option<StoredResponse>,
    timer: Pin<Box<Sleep>>,
    waiting: PendingOperation,
}

enum PendingOperation {
    EndpointResponse(BoxFuture<'static, Result<Box<EndpointResponse>, FailurePoint>>),
    Claim(BoxFuture<'static, ClaimResponse>),
    Nothing,
    Permit(BoxFuture<'static, Result<Box<dyn Permit>, Refusal>>),
}

enum DriverInput {
    EndpointResponse(Result<Box<EndpointResponse>, FailurePoint>),
    CallerGone,
    Claim(ClaimResponse),
    Permit(Result<Box<dyn Permit>, Refusal>),
    Tick,
}

impl PendingOperation {
    async fn step(&mut self) -> DriverInput {
        match self {
            Self::EndpointResponse(answer) => DriverInput::EndpointResponse(answer.await),
            Self::Claim(claim) => DriverInput::Claim(claim.await),
            Self::Nothing => pending().await,
            Self::Permit(permit) => DriverInput::Permit(permit.await),
        }
    }
}

impl ServiceTask {
    /// Runs the call to its end.
    pub(crate) async fn run(self, running: RunningRequest) {
        let mut actions = Vec::new();
        let seed = self.shared.next_seed();
        let call = ServiceCall::start(self.repeat, self.deadline_us, seed, &mut actions);
        let wake = self.shared.clock.instant(call.next_tick_us());
        let mut driver = ServiceDriver {
            actions,
            answer: None,
            attempts: RetryState::First,
            call,
            permit: None,
            queued_us: 0,
            service: self,
            stored: None,
            timer: Box::pin(sleep_until(wake)),
            waiting: PendingOperation::Nothing,
        };
        driver.perform().await;
        while !driver.call.is_finished() {
            let step = driver.step().await;
            driver.take(step);
            driver.perform().await;
        }
        drop(running);
    }
}

impl ServiceDriver {
    fn abandon_claim(&mut self) {
        let PendingOperation::Claim(claim) =
            mem::replace(&mut self.waiting, PendingOperation::Nothing)
        else {
            return;
        };
        let shared = Arc::clone(&self.service.shared);
        let request = self.service.claim.clone();
        self.service.shared.background.spawn(async move {
            if claim.await == ClaimResponse::Granted {
                shared.dependencies.claims.release(&request).await;
            }
        });
    }

    fn acquire(&mut self) {
        let shared = Arc::clone(&self.service.shared);
        let mut request = self.service.permit_request.clone();
        self.queued_us = shared.clock.now_us();
        request.timeout_ms = self.timeout_ms();
        self.waiting = PendingOperation::Permit(Box::pin(async move {
            shared.dependencies.permits.acquire(&request).await
        }));
    }

    fn ask_budget(&mut self) {
        let customer = &self.service.permit_request.customer;
        if self.attempts.retry(&self.service.shared, customer) {
            self.service.observer.record_restart();
            self.event(ServiceEvent::BudgetGranted);
        } else {
            self.event(ServiceEvent::BudgetDenied {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
    }

    /// Whether the call ends when the caller leaves.
    fn caller_matters(&self) -> bool {
        self.service.repeat != RetryPolicy::Claimed
            || !matches!(self.waiting, PendingOperation::EndpointResponse(_))
    }

    fn claim(&mut self) {
        let shared = Arc::clone(&self.service.shared);
        let mut request = self.service.claim.clone();
        request.timeout_ms = self.timeout_ms();
        self.waiting = PendingOperation::Claim(Box::pin(async move {
            shared.dependencies.claims.claim(&request).await
        }));
    }

    fn deadline(&self) -> Instant {
        self.service.shared.clock.instant(self.service.deadline_us)
    }

    fn event(&mut self, event: ServiceEvent) {
        let now_us = self.service.shared.clock.now_us();
        self.call.handle(now_us, event, &mut self.actions);
    }

    fn fail(&mut self, failure: Failure) {
        let request = &self.service.permit_request;
        info!(self.service.shared.settings.log, "call failed";
            "customer" => %request.customer, "kind" => %request.kind,
            "cause" => failure.cause.as_str(), "outcome" => failure.outcome.as_str());
        let problem = Problem::failed(failure);
        self.service.response_sender.reply(problem.response());
    }

    async fn perform(&mut self) {
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                self.perform_one(action).await;
            }
        }
    }

    async fn perform_one(&mut self, action: ServiceAction) {
        match action {
            ServiceAction::AbandonClaim => self.abandon_claim(),
            ServiceAction::AcquirePermit => self.acquire(),
            ServiceAction::RequestRetry => self.ask_budget(),
            ServiceAction::Claim => self.claim(),
            ServiceAction::Conflict(claim) => {
                self.service
                    .response_sender
                    .reply(conflict(claim).response());
            }
            ServiceAction::CloseConnection => {
                self.waiting = PendingOperation::Nothing;
                self.answer = None;
            }
            ServiceAction::Fail(failure) => self.fail(failure),
            ServiceAction::MarkClaimUnknown => {
                let shared = Arc::clone(&self.service.shared);
                let request = self.service.claim.clone();
                self.service.shared.background.spawn(async move {
                    shared.dependencies.claims.mark_unknown(&request).await;
                });
            }
            ServiceAction::Refuse(refusal) => {
                self.service.observer.record_refusal(refusal.reason);
                let problem = Problem::refused(refusal);
                self.service.response_sender.reply(problem.response());
            }
            ServiceAction::ReleasePermit { end } => self.release(end),
            ServiceAction::ReleaseClaim => {
                let shared = Arc::clone(&self.service.shared);
                let request = self.service.claim.clone();
                self.service.shared.background.spawn(async move {
                    shared.dependencies.claims.release(&request).await;
                });
            }
            ServiceAction::ReplayResponse => self.replay(),
            ServiceAction::Respond => self.respond().await,
            ServiceAction::Send => self.send(),
            ServiceAction::StoreResponse => self.store().await,
        }
    }

    fn release(&mut self, end: PermitEnd) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            let failed = &mut self.service.permit_request.failed_endpoints;
            if let Err(position) = failed.binary_search(permit.endpoint()) {
                failed.insert(position, permit.endpoint().clone());
            }
        }
        permit.finish(end, 0);
    }

    fn replay(&mut self) {
        let Some(stored) = self.stored.take() else {
            return;
        };
        self.service.response_sender.reply(replayed(stored));
    }

    /// Hands the endpoint's answer to the caller, piece by piece.
    async fn respond(&mut self) {
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        let deadline = self.deadline();
        let (parts, ()) = answered(&answer.exchange).into_parts();
        self.service
            .response_sender
            .stream(Response::from_parts(parts, ()));
        let end = match timeout_at(
            deadline,
            relay(&mut self.service.response_sender, &mut answer),
        )
        .await
        {
            Ok(end) => end,
            Err(_) => PermitEnd::Failed,
        };
        if end == PermitEnd::Completed {
            self.service
                .response_sender
                .piece(BodyChunk::End, deadline)
                .await;
        }
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.service
            .observer
            .record_received_bytes(region, answer.received_bytes);
        self.release(end);
    }

    fn send(&mut self) {
        let Some(permit) = &self.permit else {
            return;
        };
        let address = permit.address();
        let mut request = Request::new(Full::new(self.service.body.clone()));
        *request.method_mut() = self.service.head.method.clone();
        *request.uri_mut() = self.service.head.uri.clone();
        *request.headers_mut() = self.service.head.headers.clone();
        let id = self.service.shared.next_generation().to_string();
        let customer = self.service.permit_request.customer.as_str();
        let headers = request.headers_mut();
        for (name, value) in [
            (CALL, id.as_str()),
            (CUSTOMER, customer),
            (HOST, &address.to_string()),
            (TIMEOUT_MS, &self.timeout_ms().to_string()),
        ] {
            if let Ok(value) = value.as_bytes().try_into() {
                headers.insert(name, value);
            }
        }
        let sent_bytes = self.service.body.len() as u64;
        self.service
            .observer
            .record_sent_bytes(permit.region(), sent_bytes);
        let limits = &self.service.shared.settings.limits;
        let connect = Duration::from_millis(limits.connect_timeout_ms);
        let read_bytes = match self.service.repeat {
            RetryPolicy::Claimed => limits.stored_bytes_max,
            RetryPolicy::Repeatable | RetryPolicy::SendOnce => 0,
        };
        self.waiting = PendingOperation::EndpointResponse(Box::pin(async move {
            let exchange = Exchange::send(address, request, connect, ReadBuffer::Large).await?;
            collect(exchange, read_bytes).await.map(Box::new)
        }));
    }

    async fn step(&mut self) -> DriverInput {
        let wake = self.service.shared.clock.instant(self.call.next_tick_us());
        if wake < self.timer.deadline() || self.timer.is_elapsed() {
            self.timer.as_mut().reset(wake);
        }
        let has_caller = self.caller_matters();
        select! {
            biased;
            () = self.service.response_sender.gone(), if has_caller => DriverInput::CallerGone,
            () = self.timer.as_mut() => DriverInput::Tick,
            step = self.waiting.step() => step,
        }
    }

    /// Commits the answer; the caller waits for it until the deadline.
    async fn store(&mut self) {
        let Some(answer) = &self.answer else {
            return;
        };
        let stored = stored(answer);
        let shared = Arc::clone(&self.service.shared);
        let request = self.service.claim.clone();
        let storing = self.service.shared.background.spawn(async move {
            if let Err(error) = shared.dependencies.claims.finish(&request, stored).await {
                warn!(shared.settings.log, "answer not stored";
                    "customer" => %request.customer, "error" => %error);
            }
        });
        // An answer that is not stored in time is still an answer.
        drop(timeout_at(self.deadline(), storing).await);
    }

    fn timeout_ms(&self) -> u64 {
        let now_us = self.service.shared.clock.now_us();
        self.service.deadline_us.saturating_sub(now_us) / 1_000
    }
}
