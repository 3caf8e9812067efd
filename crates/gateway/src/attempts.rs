//! Sends one request to endpoints until it is answered or no further attempt is allowed.
//!
//! An idempotent request whose endpoint does not answer in time is sent to another one as well. The
//! first attempt continues meanwhile: its endpoint may only pause, and the other one may reject the
//! request or be silent too. The first answer is forwarded, and the other attempts are cancelled. If the
//! client resumes a stream, the first attempt ends sooner: the stream must not go on at two endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{OptionFuture, select_all};
use hyper::http::response;
use hyper::{Response, StatusCode, header};
use slog::{debug, info};
use tokio::time::{Instant, sleep_until};

use crate::ResponseHead;
use crate::attempt::{
    AcceptedBody, AcceptedResponse, AttemptEnd, AttemptError, AttemptOutcome, AttemptSender,
    OVERLAP_MS_MAX, PendingAttempt, RETRY_WAIT_MS, ResumePoint,
};
use crate::connection::Connection;
use crate::fleet::{PlacementRequest, Slot};
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::outcome::{Outcome, RequestError};
use crate::part_evidence::StreamRun;
use crate::relay::{Relay, RelayedStream};
use crate::response::{ResponseBody, full_body, is_delimited, strip_hop_by_hop_headers};

/// Least remaining time for which an attempt is made.
const REMAINING_MS_MIN: u64 = 20;

/// Time before the deadline at which an error response is forwarded although another attempt is
/// pending, so that it reaches the client in time.
const FALLBACK_MARGIN_MS: u64 = 100;

/// Attempts that were rejected or did not reach an endpoint, after which the request is refused.
const NOT_RUN_ATTEMPTS_MAX: u32 = 3;

/// Percentage of the target latency for which a request waits for capacity; the rest is for the
/// network and the endpoint's work.
const WAIT_PERCENT: u64 = 70;

/// Shortest time after which an attempt without a response is joined by another, so that ordinary
/// slow responses are waited for.
const OVERDUE_MS_MIN: u64 = 350;

/// Target latencies after which a stream without its first event is requested from another
/// endpoint. The prompt is prefilled once more there, so a merely busy engine is waited for.
const FIRST_EVENT_TARGET_LATENCIES: u64 = 2;

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
    /// Attempts that have not ended, oldest first.
    in_flight: Vec<PendingAttempt>,
    /// Earliest time for an attempt beside those in flight, after one found no capacity.
    next_attempt_at: Instant,
    /// Attempts that have certainly not run.
    not_run_count: u32,
    /// Attempts that may have run.
    pub(crate) possible_runs: u32,
    pub(crate) request: Arc<RoutedRequest>,
    /// Total time that the request has waited for capacity.
    pub(crate) waited_ms: u64,
}

impl Attempts {
    pub(crate) fn new(gateway: Arc<GatewayState>, request: Arc<RoutedRequest>) -> Self {
        Self {
            excluded_ids: Vec::new(),
            fallback: None,
            gateway,
            in_flight: Vec::new(),
            next_attempt_at: Instant::now(),
            not_run_count: 0,
            possible_runs: 0,
            request,
            waited_ms: 0,
        }
    }

    /// Makes attempts until one is answered, and returns the response for the client.
    pub(crate) async fn run(mut self) -> Result<Response<ResponseBody>, RequestError> {
        self.gateway.record_request(&self.request.service);
        let gateway = Arc::clone(&self.gateway);
        let result = tokio::select! {
            result = self.try_endpoints() => result,
            () = gateway.stops_soon() => {
                self.cancel_in_flight();
                Err(self.stopped_error())
            }
        };
        let error = match result {
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
            if self.in_flight.is_empty() {
                if self.request.remaining_ms() < REMAINING_MS_MIN {
                    return Err(self.unanswered_error("its time is over"));
                }
                let is_retry = self.possible_runs + self.not_run_count > 0;
                self.start_attempt(is_retry);
            }
            let (attempt_at, fallback_at) = (self.next_attempt_at(), self.fallback_at());
            let goes_on_at_two = self.in_flight.len() > 1 && self.request.continues_stream();
            let newest = self.in_flight.last();
            let overlap = Duration::from_millis(OVERLAP_MS_MAX);
            let overlap_ended = newest.map(|newest| newest.sent_for(overlap));
            let end = tokio::select! {
                biased;
                end = next_end(&mut self.in_flight) => end,
                () = sleep_until(attempt_at), if self.may_run_again() => {
                    if self.next_attempt_at() <= Instant::now() {
                        self.start_attempt_beside_overdue();
                    }
                    continue;
                }
                Some(()) = OptionFuture::from(overlap_ended), if goes_on_at_two => {
                    self.cancel_older();
                    continue;
                }
                () = sleep_until(fallback_at), if self.fallback.is_some() => {
                    return Err(self.unanswered_error("no better answer came in time"));
                }
            };
            if let Some(result) = self.apply_end(end) {
                return result;
            }
        }
    }

    fn fallback_at(&self) -> Instant {
        let margin = Duration::from_millis(FALLBACK_MARGIN_MS);
        let deadline = self.request.deadline;
        deadline.checked_sub(margin).unwrap_or(deadline)
    }

    fn start_attempt(&mut self, is_retry: bool) {
        let sender = AttemptSender::new(&self.gateway, &self.request);
        let placement = self.placement_request(is_retry);
        let attempt = sender.place_and_send(placement, ResumePoint::default(), is_retry);
        self.in_flight.push(attempt);
    }

    /// Time at which the newest attempt is overdue, so that another may start beside it.
    fn next_attempt_at(&self) -> Instant {
        let newest = self.in_flight.last();
        let sent_at = newest.and_then(PendingAttempt::sent_at);
        let overdue_at = sent_at.unwrap_or_else(Instant::now) + self.overdue_after();
        overdue_at.max(self.next_attempt_at)
    }

    fn start_attempt_beside_overdue(&mut self) {
        let now_ms = self.gateway.fleet.now_ms();
        for attempt in &self.in_flight {
            if attempt.mark_overdue(now_ms) {
                info!(self.gateway.log, "attempt overdue"; "request" => self.request.id(),
                    "endpoint" => attempt.endpoint_id());
            }
        }
        self.start_attempt(true);
    }

    /// Returns the result of the request, or `None` while it may still be answered.
    fn apply_end(
        &mut self,
        end: AttemptEnd,
    ) -> Option<Result<Response<ResponseBody>, RequestError>> {
        self.record_wait(end.waited_ms);
        if matches!(end.outcome, AttemptOutcome::NotPlaced(_)) {
            self.next_attempt_at = Instant::now() + self.overdue_after();
        }
        let error = match end.outcome {
            AttemptOutcome::Accepted(accepted, slot) => {
                self.possible_runs += 1;
                return self.forward(*accepted, slot);
            }
            AttemptOutcome::Failed(error, slot) => {
                self.excluded_ids.push(slot.endpoint.id.clone());
                drop(slot);
                self.record_attempt_error(&error)
            }
            AttemptOutcome::NotPlaced(error) if self.possible_runs == 0 => Some(error),
            AttemptOutcome::NotPlaced(error) => Some(self.unanswered_error(&error.reason)),
        };
        if !self.in_flight.is_empty() {
            return None;
        }
        error.map(Err)
    }

    /// Forwards a response to the client; `None` if another endpoint is to be tried.
    fn forward(
        &mut self,
        accepted: AcceptedResponse,
        slot: Slot,
    ) -> Option<Result<Response<ResponseBody>, RequestError>> {
        let AcceptedResponse {
            body,
            connection,
            head,
            parts,
        } = accepted;
        let bytes = match body {
            AcceptedBody::Whole(bytes) => bytes,
            AcceptedBody::Stream(first, rest) => {
                self.cancel_in_flight();
                let stream = RelayedStream {
                    body: rest,
                    connection,
                    head,
                    is_delimited: is_delimited(&parts),
                    run: StreamRun::default(),
                    slot,
                };
                return Some(Ok(Relay::spawn(self, stream, parts, first)));
            }
        };
        let status = parts.status;
        let endpoint = Arc::clone(&slot.endpoint);
        let now_ms = self.gateway.fleet.now_ms();
        if status.is_server_error() {
            endpoint.stats().health.record_failure(now_ms);
        } else {
            endpoint.stats().health.record_success(now_ms);
        }
        if status.is_success() && is_delimited(&parts) {
            self.gateway.report_sound(&self.request);
        } else if status.is_success() {
            self.gateway.report_unframed_end(&self.request, &endpoint);
        }
        keep_connection(connection, &head, &slot);
        if NOT_RUN_STATUSES.contains(&status) {
            self.excluded_ids.push(endpoint.id.clone());
            return self.check_retry(&format!("the endpoint answered {status}"));
        }
        let response = client_response(parts, bytes);
        if status.is_server_error() && self.may_still_be_answered() {
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
        if self.may_still_be_answered() {
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
            AttemptError::Answered(_) | AttemptError::Failed(_) => {
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
        let placement = self.placement_request(true);
        let unavailable_ms = self.gateway.fleet.unavailable_ms(&placement);
        RequestError::not_run(reason, RETRY_WAIT_MS.max(unavailable_ms))
    }

    fn stopped_error(&self) -> RequestError {
        let reason = "this instance stops";
        if self.possible_runs > 0 {
            return RequestError::timed_out(reason);
        }
        RequestError::not_run(reason, RETRY_WAIT_MS)
    }

    /// Whether a further attempt may start, beside those in flight.
    fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        let in_flight = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        route.retry_class.is_idempotent()
            && self.not_run_count < NOT_RUN_ATTEMPTS_MAX
            && self.possible_runs + in_flight < route.attempts_max
    }

    fn may_still_be_answered(&self) -> bool {
        !self.in_flight.is_empty() || self.may_run_again()
    }

    /// Drops all attempts but the newest.
    fn cancel_older(&mut self) {
        let newest = self.in_flight.pop();
        self.cancel_in_flight();
        self.in_flight.extend(newest);
    }

    /// Drops the attempts in flight; those that were sent may have run.
    fn cancel_in_flight(&mut self) {
        for attempt in self.in_flight.drain(..) {
            if let Some(endpoint_id) = attempt.endpoint_id() {
                self.possible_runs += 1;
                self.excluded_ids.push(endpoint_id.to_owned());
            }
        }
    }

    fn placement_request(&self, is_retry: bool) -> PlacementRequest {
        let request = &self.request;
        let demand = request.demand();
        let fleet = &self.gateway.fleet;
        let prefill_ms = fleet.idle_prefill_ms(&request.service, &demand);
        let target_ms = request.route.target_latency_ms * WAIT_PERCENT / 100;
        let wait_ms = target_ms.saturating_sub(prefill_ms + request.elapsed_ms());
        let wait_ms = if is_retry {
            wait_ms.max(RETRY_WAIT_MS)
        } else {
            wait_ms
        };
        let in_flight_ids = self
            .in_flight
            .iter()
            .filter_map(PendingAttempt::endpoint_id);
        let excluded_ids = self.excluded_ids.iter().map(String::as_str);
        PlacementRequest {
            demand,
            excluded_ids: excluded_ids
                .chain(in_flight_ids)
                .map(str::to_owned)
                .collect(),
            priority: request.priority,
            service: request.service.clone(),
            software_version: request.software_version.clone(),
            source_data_centre: None,
            wait_ms_max: wait_ms.min(request.remaining_ms()),
        }
    }

    /// Time without a response after which another endpoint is tried as well.
    fn overdue_after(&self) -> Duration {
        let route = &self.request.route;
        let overdue_ms = if route.retry_class.is_stream() {
            route.target_latency_ms * FIRST_EVENT_TARGET_LATENCIES
        } else {
            route.target_latency_ms
        };
        Duration::from_millis(overdue_ms.max(OVERDUE_MS_MIN))
    }
}

/// Waits until one of the attempts ends, and removes it.
async fn next_end(in_flight: &mut Vec<PendingAttempt>) -> AttemptEnd {
    let (end, at, _) = select_all(in_flight.iter_mut().map(PendingAttempt::end)).await;
    in_flight.remove(at);
    end
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
