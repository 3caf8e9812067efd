//! Sends one request to endpoints until it is answered or no further attempt is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::response;
use hyper::{Request, Response, StatusCode, header};
use placement::PREFILL_TOKENS_PER_MS;
use slog::{debug, info};
use thiserror::Error;
use tokio::time::{Instant, timeout};

use crate::clock::elapsed_ms;
use crate::connection::{Connection, EndpointResponse, SendError};
use crate::fleet::{PlacementRequest, Slot};
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::outcome::{Outcome, RequestError};
use crate::relay::Relay;
use crate::response::{ResponseBody, full_body, strip_hop_by_hop_headers};
use crate::{AttemptHead, CacheCopy, ResponseHead};

/// Least remaining time for which an attempt is made.
const REMAINING_MS_MIN: u64 = 20;

/// Attempts that were rejected or did not reach an endpoint, after which the request is refused.
const NOT_RUN_ATTEMPTS_MAX: u32 = 3;

/// Longest response body that is collected before it is forwarded; streams are not collected.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Percentage of the target latency for which a request waits for capacity; the rest is for the
/// network and the endpoint's work.
const WAIT_PERCENT: u64 = 70;

/// Shortest time limit of an attempt that may be followed by another, so that ordinary slow
/// responses are waited for.
const ATTEMPT_MS_MIN: u64 = 350;

/// Target latencies after which a stream without its first event is requested from another
/// endpoint. The prompt is prefilled once more there, so a merely busy engine is waited for.
pub(crate) const FIRST_EVENT_TARGET_LATENCIES: u64 = 2;

/// Time for which a retry waits for capacity.
const RETRY_WAIT_MS: u64 = 200;

/// Statuses that promise clients that the request has not run. Without the endpoint's not-run
/// header the promise may be false, so such a response is not forwarded.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// All attempts of one request.
pub(crate) struct Attempts {
    /// Ids of the endpoints that the request was sent to.
    pub(crate) excluded_ids: Vec<String>,
    /// Error response of an endpoint, with the endpoint's id; forwarded if later attempts fail too.
    fallback: Option<(Response<ResponseBody>, String)>,
    pub(crate) gateway: Arc<GatewayState>,
    /// Attempts that have certainly not run.
    not_run_count: u32,
    /// Attempts that may have run.
    pub(crate) possible_runs: u32,
    pub(crate) request: Arc<RoutedRequest>,
    /// Total time that the request has waited for capacity.
    pub(crate) waited_ms: u64,
}

/// Position from which a stream resumes; the default is its start.
#[derive(Debug, Default)]
pub(crate) struct ResumePoint<'a> {
    pub(crate) copy: Option<&'a CacheCopy>,
    pub(crate) last_event_id: Option<u64>,
}

/// Response that is neither a rejection nor another request's, with its parsed head.
pub(crate) struct AcceptedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) response: EndpointResponse,
}

/// Reason why an attempt got no response.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// The request may have run.
    #[error("the endpoint failed: {0}")]
    Failed(String),
    /// The endpoint rejected the request; it did not run.
    #[error("the endpoint did not run it: {0}")]
    Rejected(String),
    /// The request may still be running.
    #[error("the endpoint did not answer in time")]
    TimedOut,
    /// The endpoint could not be reached; the request did not run.
    #[error("the endpoint was not reached: {0}")]
    Unreachable(String),
}

impl Attempts {
    pub(crate) fn new(gateway: Arc<GatewayState>, request: Arc<RoutedRequest>) -> Self {
        Self {
            excluded_ids: Vec::new(),
            fallback: None,
            gateway,
            not_run_count: 0,
            possible_runs: 0,
            request,
            waited_ms: 0,
        }
    }

    /// Makes attempts until one is answered, and returns the response for the client.
    pub(crate) async fn run(mut self) -> Result<Response<ResponseBody>, RequestError> {
        self.gateway.record_request(&self.request.service);
        let error = match self.try_endpoints().await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if let Some((fallback, endpoint_id)) = self.fallback.take() {
            self.record_answered(fallback.status(), &endpoint_id, Some(&error.reason));
            return Ok(fallback);
        }
        Err(RequestError {
            endpoint_id: self.excluded_ids.pop(),
            ..error
        })
    }

    async fn try_endpoints(&mut self) -> Result<Response<ResponseBody>, RequestError> {
        loop {
            if self.request.remaining_ms() < REMAINING_MS_MIN {
                return Err(self.unanswered_error("its time is over"));
            }
            let wait_started_at = Instant::now();
            let admitted = self.gateway.admit(&self.placement_request()).await;
            self.record_wait(elapsed_ms(wait_started_at));
            let slot = match admitted {
                Ok(slot) => slot,
                Err(error) if self.possible_runs == 0 => return Err(error),
                Err(error) => return Err(self.unanswered_error(&error.reason)),
            };
            let is_retry = self.possible_runs + self.not_run_count > 0;
            if is_retry && !self.gateway.try_retry(&self.request.service) {
                return Err(self.unanswered_error("the budget for repeats is spent"));
            }
            let limit_ms = self.attempt_limit_ms();
            let sent = self.send(&slot, &ResumePoint::default(), limit_ms).await;
            let error = match sent {
                Ok(accepted) => {
                    self.possible_runs += 1;
                    if let Some(result) = self.forward(accepted, slot).await {
                        return result;
                    }
                    continue;
                }
                Err(error) => error,
            };
            self.excluded_ids.push(slot.endpoint.id.clone());
            drop(slot);
            if let Some(error) = self.record_attempt_error(&error) {
                return Err(error);
            }
        }
    }

    /// Makes one attempt, and waits for the head of its response.
    pub(crate) async fn send(
        &self,
        slot: &Slot,
        resume_point: &ResumePoint<'_>,
        limit_ms: u64,
    ) -> Result<AcceptedResponse, AttemptError> {
        let endpoint = &slot.endpoint;
        let request = self.endpoint_request(&endpoint.id, resume_point);
        let is_copied = resume_point.copy.is_some();
        let may_reuse = is_copied || self.request.route.retry_class.is_idempotent();
        let sent = endpoint.pool.send(request, may_reuse);
        let now_ms = self.gateway.fleet.now_ms();
        let response = match timeout(Duration::from_millis(limit_ms), sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(reason))) => {
                endpoint.stats().health.record_unreachable(now_ms);
                return Err(AttemptError::Unreachable(reason));
            }
            Ok(Err(SendError::MayHaveRun(reason))) => {
                endpoint.stats().health.record_failure(now_ms);
                return Err(AttemptError::Failed(reason));
            }
            Err(_) => {
                endpoint.stats().health.record_failure(now_ms);
                return Err(AttemptError::TimedOut);
            }
        };
        let status = response.parts.status;
        let head = self
            .gateway
            .dialect
            .parse_response_head(status, &response.parts.headers);
        if head.is_misdirected {
            endpoint.set_leaving();
            return Err(AttemptError::Rejected(
                "another endpoint has the address".to_owned(),
            ));
        }
        if head.is_not_run {
            return Err(AttemptError::Rejected(format!(
                "the endpoint answered {status}"
            )));
        }
        if head.request_id.as_deref() != self.request.head.request_id.as_deref() {
            endpoint.stats().health.record_failure(now_ms);
            return Err(AttemptError::Failed(
                "the answer is another request's".to_owned(),
            ));
        }
        Ok(AcceptedResponse { head, response })
    }

    /// Forwards a response to the client; `None` if another endpoint is to be tried.
    async fn forward(
        &mut self,
        accepted: AcceptedResponse,
        slot: Slot,
    ) -> Option<Result<Response<ResponseBody>, RequestError>> {
        let status = accepted.response.parts.status;
        if status == StatusCode::OK && self.request.route.retry_class.is_stream() {
            return Some(Ok(Relay::spawn(self, accepted, slot)));
        }
        let AcceptedResponse { head, response } = accepted;
        let EndpointResponse {
            body,
            connection,
            parts,
        } = response;
        let endpoint = Arc::clone(&slot.endpoint);
        let remaining = Duration::from_millis(self.request.remaining_ms());
        let collected = Limited::new(body, RESPONSE_BYTES_MAX).collect();
        let now_ms = self.gateway.fleet.now_ms();
        let bytes = match timeout(remaining, collected).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) => {
                endpoint.stats().health.record_failure(now_ms);
                self.excluded_ids.push(endpoint.id.clone());
                return self.check_retry(&format!("the answer broke off: {error}"));
            }
            Err(_) => {
                endpoint.stats().health.record_failure(now_ms);
                return Some(Err(RequestError::timed_out(
                    "the answer did not end in time",
                )));
            }
        };
        if status.is_server_error() {
            endpoint.stats().health.record_failure(now_ms);
        } else {
            endpoint.stats().health.record_success(now_ms);
        }
        keep_connection(connection, &head, &slot);
        if NOT_RUN_STATUSES.contains(&status) {
            self.excluded_ids.push(endpoint.id.clone());
            return self.check_retry(&format!("the endpoint answered {status}"));
        }
        let response = client_response(parts, bytes);
        if status.is_server_error() && self.may_run_again() {
            self.excluded_ids.push(endpoint.id.clone());
            self.fallback = Some((response, endpoint.id.clone()));
            return None;
        }
        self.record_answered(status, &endpoint.id, None);
        Some(Ok(response))
    }

    /// Counts and logs a forwarded response. `reason` says why a later attempt gave no better one.
    fn record_answered(&self, status: StatusCode, endpoint_id: &str, reason: Option<&str>) {
        let request = &self.request;
        let duration_ms = request.elapsed_ms();
        self.gateway
            .record_end(Some(request), Outcome::Answered, duration_ms);
        info!(self.gateway.log, "request ended"; "waited_ms" => self.waited_ms,
            "request" => request.id(), "outcome" => ?Outcome::Answered,
            "status" => status.as_u16(), "reason" => reason, "route" => &request.route.name,
            "customer" => request.customer.as_deref(), "endpoint" => endpoint_id,
            "sendings" => self.possible_runs + self.not_run_count,
            "document_version" => request.catalog.version(), "duration_ms" => duration_ms);
    }

    /// Returns an error if no further attempt is allowed after a response that cannot be forwarded.
    fn check_retry(&self, reason: &str) -> Option<Result<Response<ResponseBody>, RequestError>> {
        if self.may_run_again() {
            debug!(self.gateway.log, "request retried"; "request" => self.request.id(),
                "reason" => reason);
            return None;
        }
        Some(Err(RequestError::failed(reason)))
    }

    fn record_wait(&mut self, wait_ms: u64) {
        self.waited_ms += wait_ms;
        let kind = self.request.route.retry_class.name();
        self.gateway.metrics.record_capacity_wait(kind, wait_ms);
    }

    /// Counts and logs a failed attempt; returns an error if no further attempt is allowed.
    fn record_attempt_error(&mut self, error: &AttemptError) -> Option<RequestError> {
        let reason = error.to_string();
        debug!(self.gateway.log, "attempt failed"; "request" => self.request.id(),
            "endpoint" => self.excluded_ids.last(), "reason" => &reason);
        match error {
            AttemptError::Failed(_) => {
                self.possible_runs += 1;
                (!self.may_run_again()).then(|| RequestError::failed(reason))
            }
            AttemptError::TimedOut => {
                self.possible_runs += 1;
                (!self.may_run_again()).then(|| RequestError::timed_out(reason))
            }
            AttemptError::Rejected(_) | AttemptError::Unreachable(_) => {
                self.not_run_count += 1;
                (self.not_run_count >= NOT_RUN_ATTEMPTS_MAX).then(|| self.unanswered_error(&reason))
            }
        }
    }

    fn unanswered_error(&self, reason: &str) -> RequestError {
        if self.possible_runs > 0 {
            return RequestError::failed(reason);
        }
        RequestError::not_run(reason, RETRY_WAIT_MS)
    }

    fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        route.retry_class.is_idempotent() && self.possible_runs < route.attempts_max
    }

    fn placement_request(&self) -> PlacementRequest {
        let request = &self.request;
        let demand = request.demand();
        let prefill_ms = demand.prefill_tokens / PREFILL_TOKENS_PER_MS;
        let target_ms = request.route.target_latency_ms * WAIT_PERCENT / 100;
        let wait_ms = target_ms.saturating_sub(prefill_ms + request.elapsed_ms());
        let wait_ms = if self.possible_runs + self.not_run_count > 0 {
            wait_ms.max(RETRY_WAIT_MS)
        } else {
            wait_ms
        };
        PlacementRequest {
            demand,
            excluded_ids: self.excluded_ids.clone(),
            priority: request.priority,
            service: request.service.clone(),
            source_data_centre: None,
            wait_ms_max: wait_ms.min(request.remaining_ms()),
        }
    }

    /// Time limit for the head of a response, after which another endpoint may be tried.
    fn attempt_limit_ms(&self) -> u64 {
        let route = &self.request.route;
        let is_last =
            !route.retry_class.is_idempotent() || self.possible_runs + 1 >= route.attempts_max;
        let remaining_ms = self.request.remaining_ms();
        if is_last {
            return remaining_ms;
        }
        let limit_ms = if route.retry_class.is_stream() {
            route.target_latency_ms * FIRST_EVENT_TARGET_LATENCIES
        } else {
            route.target_latency_ms
        };
        remaining_ms.min(limit_ms.max(ATTEMPT_MS_MIN))
    }

    fn endpoint_request(
        &self,
        endpoint_id: &str,
        resume_point: &ResumePoint<'_>,
    ) -> Request<Full<Bytes>> {
        let routed = &self.request;
        let mut request = Request::new(Full::new(routed.body.clone()));
        *request.method_mut() = routed.method.clone();
        *request.uri_mut() = routed.path.clone().into();
        let mut headers = routed.headers.clone();
        let is_generation = routed.head.generation.is_some();
        let attempt = AttemptHead {
            copy: resume_point.copy,
            customer: routed.customer.as_deref(),
            endpoint_id,
            last_event_id: resume_point.last_event_id.or(routed.client_last_event_id()),
            priority: is_generation.then_some(routed.priority),
            remaining_ms: routed.remaining_ms(),
        };
        self.gateway
            .dialect
            .write_attempt_headers(&mut headers, &attempt);
        *request.headers_mut() = headers;
        request
    }
}

impl RoutedRequest {
    /// Last event that the client received, if the route allows it to resume a stream.
    fn client_last_event_id(&self) -> Option<u64> {
        let may_resume = self.route.retry_class.is_idempotent();
        self.head.last_event_id.filter(|_| may_resume)
    }
}

/// Returns a connection to the pool after its response, unless the endpoint closes it.
pub(crate) fn keep_connection(connection: Connection, head: &ResponseHead, slot: &Slot) {
    if !head.closes_connection {
        slot.endpoint.pool.put_idle(connection, head.keep_alive_ms);
    }
}

/// Removes the headers of an endpoint's response that are not forwarded.
pub(crate) fn client_parts(mut parts: response::Parts) -> response::Parts {
    strip_hop_by_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts
}

fn client_response(parts: response::Parts, bytes: Bytes) -> Response<ResponseBody> {
    Response::from_parts(client_parts(parts), full_body(bytes))
}
