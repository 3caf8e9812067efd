//! Performs the actions of one [`ServiceCall`] and feeds it the events that follow.

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
    EndpointResponse, conflict_problem, read_response, relay_body, replay_response, response_head,
    stored_response,
};
use crate::core::{
    CallFailure, FailurePoint, RetryPolicy, ServiceAction, ServiceCall, ServiceEvent,
};
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

/// Retry delay reported to clients whose call is in progress under the same key, or whose retry
/// budget is spent, and assumed for endpoints that report none.
const RETRY_AFTER_MS: u64 = 2_000;

/// A call of a plain service that is admitted and ready to run.
pub(crate) struct ServiceTask {
    pub(crate) body: Bytes,
    pub(crate) claim_request: ClaimRequest,
    pub(crate) deadline_us: u64,
    /// Method, forwarded headers and the path without the prefix of the service.
    pub(crate) head: Parts,
    pub(crate) observer: Arc<dyn ClassObserver>,
    pub(crate) permit_request: PermitRequest,
    pub(crate) response_sender: ResponseSender,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) shared: Arc<SharedState>,
}

/// Running call of a plain service, with its I/O and timer.
struct ServiceDriver {
    /// Actions of `call` that are not performed yet.
    actions: Vec<ServiceAction>,
    call: ServiceCall,
    endpoint_response: Option<EndpointResponse>,
    pending_operation: PendingOperation,
    permit: Option<Box<dyn Permit>>,
    permit_requested_us: u64,
    retry_state: RetryState,
    /// Response of an earlier request with the same key.
    stored_response: Option<StoredResponse>,
    task: ServiceTask,
    timer: Pin<Box<Sleep>>,
}

/// I/O that the driver waits for.
enum PendingOperation {
    AcquirePermit(BoxFuture<'static, Result<Box<dyn Permit>, Refusal>>),
    Claim(BoxFuture<'static, ClaimResponse>),
    None,
    SendRequest(BoxFuture<'static, Result<Box<EndpointResponse>, FailurePoint>>),
}

/// Input that ends a wait of the driver.
enum DriverInput {
    Claim(ClaimResponse),
    ClientDisconnected,
    Permit(Result<Box<dyn Permit>, Refusal>),
    Response(Result<Box<EndpointResponse>, FailurePoint>),
    Tick,
}

impl PendingOperation {
    async fn next_input(&mut self) -> DriverInput {
        match self {
            Self::AcquirePermit(permit) => DriverInput::Permit(permit.await),
            Self::Claim(claim) => DriverInput::Claim(claim.await),
            Self::None => pending().await,
            Self::SendRequest(response) => DriverInput::Response(response.await),
        }
    }
}

impl ServiceTask {
    /// Runs the call until its response is complete or has failed.
    pub(crate) async fn run(self, running_request: RunningRequest) {
        let mut actions = Vec::new();
        let seed = self.shared.next_seed();
        let call = ServiceCall::start(self.retry_policy, self.deadline_us, seed, &mut actions);
        let next_tick = self.shared.clock.instant(call.next_tick_us());
        let mut driver = ServiceDriver {
            actions,
            call,
            endpoint_response: None,
            pending_operation: PendingOperation::None,
            permit: None,
            permit_requested_us: 0,
            retry_state: RetryState::FirstAttempt,
            stored_response: None,
            task: self,
            timer: Box::pin(sleep_until(next_tick)),
        };
        driver.perform_actions().await;
        while !driver.call.is_finished() {
            let input = driver.next_input().await;
            driver.handle_input(input);
            driver.perform_actions().await;
        }
        drop(running_request);
    }
}

impl ServiceDriver {
    fn abandon_claim(&mut self) {
        let PendingOperation::Claim(claim) =
            mem::replace(&mut self.pending_operation, PendingOperation::None)
        else {
            return;
        };
        let shared = Arc::clone(&self.task.shared);
        let request = self.task.claim_request.clone();
        self.task.shared.background_tasks.spawn(async move {
            if claim.await == ClaimResponse::Granted {
                shared.dependencies.claims.release(&request).await;
            }
        });
    }

    fn acquire_permit(&mut self) {
        let shared = Arc::clone(&self.task.shared);
        let mut request = self.task.permit_request.clone();
        self.permit_requested_us = shared.clock.now_us();
        request.timeout_ms = self.timeout_ms();
        self.pending_operation = PendingOperation::AcquirePermit(Box::pin(async move {
            shared.dependencies.permits.acquire(&request).await
        }));
    }

    fn request_retry(&mut self) {
        let customer = &self.task.permit_request.customer;
        if self.retry_state.request_retry(&self.task.shared, customer) {
            self.task.observer.record_restart();
            self.handle_event(ServiceEvent::BudgetGranted);
        } else {
            self.handle_event(ServiceEvent::BudgetDenied {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
    }

    /// Whether the call ends when its client disconnects.
    fn ends_on_disconnect(&self) -> bool {
        self.task.retry_policy != RetryPolicy::Claimed
            || !matches!(self.pending_operation, PendingOperation::SendRequest(_))
    }

    fn claim(&mut self) {
        let shared = Arc::clone(&self.task.shared);
        let mut request = self.task.claim_request.clone();
        request.timeout_ms = self.timeout_ms();
        self.pending_operation = PendingOperation::Claim(Box::pin(async move {
            shared.dependencies.claims.claim(&request).await
        }));
    }

    fn deadline(&self) -> Instant {
        self.task.shared.clock.instant(self.task.deadline_us)
    }

    fn handle_event(&mut self, event: ServiceEvent) {
        let now_us = self.task.shared.clock.now_us();
        self.call.handle(now_us, event, &mut self.actions);
    }

    fn fail(&mut self, failure: CallFailure) {
        let request = &self.task.permit_request;
        info!(self.task.shared.settings.log, "service call failed";
            "customer" => %request.customer, "kind" => %request.kind,
            "cause" => failure.cause.as_str(), "outcome" => failure.outcome.as_str());
        let problem = Problem::failed(failure);
        self.task.response_sender.respond(problem.response());
    }

    async fn perform_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                self.perform_action(action).await;
            }
        }
    }

    async fn perform_action(&mut self, action: ServiceAction) {
        match action {
            ServiceAction::AbandonClaim => self.abandon_claim(),
            ServiceAction::AcquirePermit => self.acquire_permit(),
            ServiceAction::RequestRetry => self.request_retry(),
            ServiceAction::Claim => self.claim(),
            ServiceAction::Conflict(claim) => {
                self.task
                    .response_sender
                    .respond(conflict_problem(claim).response());
            }
            ServiceAction::CloseConnection => {
                self.pending_operation = PendingOperation::None;
                self.endpoint_response = None;
            }
            ServiceAction::Fail(failure) => self.fail(failure),
            ServiceAction::MarkClaimUnknown => {
                let shared = Arc::clone(&self.task.shared);
                let request = self.task.claim_request.clone();
                self.task.shared.background_tasks.spawn(async move {
                    shared.dependencies.claims.mark_unknown(&request).await;
                });
            }
            ServiceAction::Refuse(refusal) => {
                self.task.observer.record_refusal(refusal.reason);
                let problem = Problem::refused(refusal);
                self.task.response_sender.respond(problem.response());
            }
            ServiceAction::ReleasePermit { end } => self.release_permit(end),
            ServiceAction::ReleaseClaim => {
                let shared = Arc::clone(&self.task.shared);
                let request = self.task.claim_request.clone();
                self.task.shared.background_tasks.spawn(async move {
                    shared.dependencies.claims.release(&request).await;
                });
            }
            ServiceAction::ReplayResponse => self.replay(),
            ServiceAction::Respond => self.respond().await,
            ServiceAction::Send => self.send(),
            ServiceAction::StoreResponse => self.store().await,
        }
    }

    fn release_permit(&mut self, end: PermitEnd) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            let failed = &mut self.task.permit_request.failed_endpoints;
            if let Err(position) = failed.binary_search(permit.endpoint()) {
                failed.insert(position, permit.endpoint().clone());
            }
        }
        permit.finish(end, 0);
    }

    fn replay(&mut self) {
        let Some(stored_response) = self.stored_response.take() else {
            return;
        };
        self.task
            .response_sender
            .respond(replay_response(stored_response));
    }

    /// Streams the endpoint's response to the client.
    async fn respond(&mut self) {
        let Some(mut endpoint_response) = self.endpoint_response.take() else {
            return;
        };
        let deadline = self.deadline();
        let (parts, ()) = response_head(&endpoint_response.exchange).into_parts();
        self.task
            .response_sender
            .start_stream(Response::from_parts(parts, ()));
        let end = match timeout_at(
            deadline,
            relay_body(&mut self.task.response_sender, &mut endpoint_response),
        )
        .await
        {
            Ok(end) => end,
            Err(_) => PermitEnd::Failed,
        };
        if end == PermitEnd::Completed {
            self.task
                .response_sender
                .send_chunk(BodyChunk::End, deadline)
                .await;
        }
        let region = self.permit.as_ref().and_then(|permit| permit.region());
        self.task
            .observer
            .record_received_bytes(region, endpoint_response.received_bytes);
        self.release_permit(end);
    }

    fn send(&mut self) {
        let Some(permit) = &self.permit else {
            return;
        };
        let address = permit.address();
        let mut request = Request::new(Full::new(self.task.body.clone()));
        *request.method_mut() = self.task.head.method.clone();
        *request.uri_mut() = self.task.head.uri.clone();
        *request.headers_mut() = self.task.head.headers.clone();
        let id = self.task.shared.next_generation_id().to_string();
        let customer = self.task.permit_request.customer.as_str();
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
        let sent_bytes = self.task.body.len() as u64;
        self.task
            .observer
            .record_sent_bytes(permit.region(), sent_bytes);
        let limits = &self.task.shared.settings.limits;
        let connect_timeout = Duration::from_millis(limits.connect_timeout_ms);
        let buffered_bytes = match self.task.retry_policy {
            RetryPolicy::Claimed => limits.stored_bytes_max,
            RetryPolicy::Repeatable | RetryPolicy::SendOnce => 0,
        };
        self.pending_operation = PendingOperation::SendRequest(Box::pin(async move {
            let exchange =
                Exchange::send(address, request, connect_timeout, ReadBuffer::Large).await?;
            read_response(exchange, buffered_bytes).await.map(Box::new)
        }));
    }

    async fn next_input(&mut self) -> DriverInput {
        let next_tick = self.task.shared.clock.instant(self.call.next_tick_us());
        if next_tick < self.timer.deadline() || self.timer.is_elapsed() {
            self.timer.as_mut().reset(next_tick);
        }
        let ends_on_disconnect = self.ends_on_disconnect();
        select! {
            biased;
            () = self.task.response_sender.disconnected(), if ends_on_disconnect => {
                DriverInput::ClientDisconnected
            }
            () = self.timer.as_mut() => DriverInput::Tick,
            input = self.pending_operation.next_input() => input,
        }
    }

    /// Commits the response of a claimed call; waits for the commit until the deadline.
    async fn store(&mut self) {
        let Some(endpoint_response) = &self.endpoint_response else {
            return;
        };
        let stored_response = stored_response(endpoint_response);
        let shared = Arc::clone(&self.task.shared);
        let request = self.task.claim_request.clone();
        let store_task = self.task.shared.background_tasks.spawn(async move {
            if let Err(error) = shared
                .dependencies
                .claims
                .finish(&request, stored_response)
                .await
            {
                warn!(shared.settings.log, "response of claimed call not stored";
                    "customer" => %request.customer, "error" => %error);
            }
        });
        // A response that is not stored in time is sent all the same.
        drop(timeout_at(self.deadline(), store_task).await);
    }

    fn timeout_ms(&self) -> u64 {
        let now_us = self.task.shared.clock.now_us();
        self.task.deadline_us.saturating_sub(now_us) / 1_000
    }
}
