//! Sends one request to endpoints until it is answered or given up.

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
use crate::connection::{Answer, Connection, SendError};
use crate::fleet::{Slot, Want};
use crate::handler::Call;
use crate::outcome::{Outcome, Refusal};
use crate::relay::Relay;
use crate::reply::{ReplyBody, strip_connection_headers, whole_body};
use crate::shared::Shared;
use crate::{AttemptHead, CacheCopy, ResponseHead};

/// Least time left for which a request is sent at all.
const LEFT_MS_MIN: u64 = 20;

/// Sendings in vain, to endpoints that rejected the request or could not be reached, after which
/// it is refused.
const MISSES_MAX: u32 = 3;

/// Longest answer that is collected before it is passed on; streams are not.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Part of the target latency for which a request waits for room, in percent; the rest is for
/// the way and the work.
const WAIT_PERCENT: u64 = 70;

/// Least time for a sending that may be followed by another, so that ordinary slow answers are
/// waited for.
const ATTEMPT_MS_MIN: u64 = 350;

/// Target latencies after which a stream without its first event is asked for elsewhere. A prompt
/// that is read late is read once more then, so an engine that is only busy is waited for.
pub(crate) const STREAM_TARGETS: u64 = 2;

/// Time for which a repeat waits for room.
const REPEAT_WAIT_MS: u64 = 200;

/// Statuses that promise that the request has not run, which only the endpoint may say.
const PROMISES: [StatusCode; 4] = [
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// The sendings of one request.
pub(crate) struct Attempts {
    pub(crate) call: Arc<Call>,
    /// Endpoints that have had it.
    pub(crate) excluded: Vec<String>,
    /// Answer of an endpoint that failed it, with its id, where nothing better comes.
    failure: Option<(Response<ReplyBody>, String)>,
    misses: u32,
    /// Sendings that may have run.
    pub(crate) runs: u32,
    pub(crate) shared: Arc<Shared>,
    /// Time that it has waited for room.
    pub(crate) waited_ms: u64,
}

/// Where a stream goes on from.
#[derive(Debug, Default)]
pub(crate) struct Resumption<'a> {
    pub(crate) copy: Option<&'a CacheCopy>,
    pub(crate) last_event_id: Option<u64>,
}

/// Head of an answer that belongs to the request.
pub(crate) struct Accepted {
    pub(crate) answer: Answer,
    pub(crate) said: ResponseHead,
}

/// Why a sending gave no answer.
#[derive(Debug, Error)]
pub(crate) enum Miss {
    /// It may have run.
    #[error("the endpoint failed: {0}")]
    Failed(String),
    /// It did not run; the endpoint rejected it.
    #[error("the endpoint did not run it: {0}")]
    Rejected(String),
    /// It may run still.
    #[error("the endpoint did not answer in time")]
    TimedOut,
    /// It did not run; the endpoint could not be reached.
    #[error("the endpoint was not reached: {0}")]
    Unreachable(String),
}

impl Attempts {
    pub(crate) fn new(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        Self {
            call,
            excluded: Vec::new(),
            failure: None,
            misses: 0,
            runs: 0,
            shared,
            waited_ms: 0,
        }
    }

    /// Answer of an endpoint, or why there is none.
    pub(crate) async fn answer(mut self) -> Result<Response<ReplyBody>, Refusal> {
        self.shared.record_request(&self.call.service);
        let refusal = match self.try_endpoints().await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        if let Some((failure, endpoint)) = self.failure.take() {
            self.note_answered(failure.status(), &endpoint, Some(&refusal.reason));
            return Ok(failure);
        }
        Err(Refusal {
            endpoint: self.excluded.pop(),
            ..refusal
        })
    }

    async fn try_endpoints(&mut self) -> Result<Response<ReplyBody>, Refusal> {
        loop {
            if self.call.left_ms() < LEFT_MS_MIN {
                return Err(self.unserved("its time is over"));
            }
            let asked = Instant::now();
            let admitted = self.shared.admit(&self.want()).await;
            self.note_wait(elapsed_ms(asked));
            let slot = match admitted {
                Ok(slot) => slot,
                Err(refusal) if self.runs == 0 => return Err(refusal),
                Err(refusal) => return Err(self.unserved(&refusal.reason)),
            };
            let is_repeat = self.runs + self.misses > 0;
            if is_repeat && !self.shared.take_repeat(&self.call.service) {
                return Err(self.unserved("the budget for repeats is spent"));
            }
            let limit_ms = self.limit_ms();
            let sent = self.send(&slot, &Resumption::default(), limit_ms).await;
            let miss = match sent {
                Ok(accepted) => {
                    self.runs += 1;
                    if let Some(ended) = self.pass_on(accepted, slot).await {
                        return ended;
                    }
                    continue;
                }
                Err(miss) => miss,
            };
            self.excluded.push(slot.endpoint.id.clone());
            drop(slot);
            if let Some(refusal) = self.note_miss(&miss) {
                return Err(refusal);
            }
        }
    }

    /// Sends the request once, until the head of its answer has come.
    pub(crate) async fn send(
        &self,
        slot: &Slot,
        resumption: &Resumption<'_>,
        limit_ms: u64,
    ) -> Result<Accepted, Miss> {
        let endpoint = &slot.endpoint;
        let request = self.request(&endpoint.id, resumption);
        let is_copied = resumption.copy.is_some();
        let may_reuse = is_copied || self.call.route.retry_class.is_idempotent();
        let sent = endpoint.pool.send(request, may_reuse);
        let now_ms = self.shared.fleet.now_ms();
        let answer = match timeout(Duration::from_millis(limit_ms), sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(reason))) => {
                endpoint.own().health.record_unreachable(now_ms);
                return Err(Miss::Unreachable(reason));
            }
            Ok(Err(SendError::MayHaveRun(reason))) => {
                endpoint.own().health.record_failure(now_ms);
                return Err(Miss::Failed(reason));
            }
            Err(_) => {
                endpoint.own().health.record_failure(now_ms);
                return Err(Miss::TimedOut);
            }
        };
        let status = answer.head.status;
        let said = self
            .shared
            .dialect
            .parse_response_head(status, &answer.head.headers);
        if said.is_misdirected {
            endpoint.leave();
            return Err(Miss::Rejected(
                "another endpoint has the address".to_owned(),
            ));
        }
        if said.is_not_run {
            return Err(Miss::Rejected(format!("the endpoint answered {status}")));
        }
        if said.request_id.as_deref() != self.call.head.request_id.as_deref() {
            endpoint.own().health.record_failure(now_ms);
            return Err(Miss::Failed("the answer is another request's".to_owned()));
        }
        Ok(Accepted { answer, said })
    }

    /// Passes an answer on; none where another endpoint is to be tried.
    async fn pass_on(
        &mut self,
        accepted: Accepted,
        slot: Slot,
    ) -> Option<Result<Response<ReplyBody>, Refusal>> {
        let status = accepted.answer.head.status;
        if status == StatusCode::OK && self.call.route.retry_class.is_stream() {
            return Some(Ok(Relay::spawn(self, accepted, slot)));
        }
        let Accepted { answer, said } = accepted;
        let Answer {
            body,
            connection,
            head,
        } = answer;
        let endpoint = Arc::clone(&slot.endpoint);
        let left = Duration::from_millis(self.call.left_ms());
        let collected = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let now_ms = self.shared.fleet.now_ms();
        let bytes = match timeout(left, collected).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) => {
                endpoint.own().health.record_failure(now_ms);
                self.excluded.push(endpoint.id.clone());
                return self.retry(&format!("the answer broke off: {error}"));
            }
            Err(_) => {
                endpoint.own().health.record_failure(now_ms);
                return Some(Err(Refusal::timed_out("the answer did not end in time")));
            }
        };
        if status.is_server_error() {
            endpoint.own().health.record_failure(now_ms);
        } else {
            endpoint.own().health.record_success(now_ms);
        }
        release(connection, &said, &slot);
        if PROMISES.contains(&status) {
            self.excluded.push(endpoint.id.clone());
            return self.retry(&format!("the endpoint answered {status}"));
        }
        let response = response(head, bytes);
        if status.is_server_error() && self.may_run_again() {
            self.excluded.push(endpoint.id.clone());
            self.failure = Some((response, endpoint.id.clone()));
            return None;
        }
        self.note_answered(status, &endpoint.id, None);
        Some(Ok(response))
    }

    /// Counts and logs the answer of an endpoint, and why a better one did not come, if it failed.
    fn note_answered(&self, status: StatusCode, endpoint: &str, reason: Option<&str>) {
        let call = &self.call;
        let duration_ms = call.elapsed_ms();
        self.shared
            .note_end(Some(call), Outcome::Answered, duration_ms);
        info!(self.shared.log, "request ended"; "waited_ms" => self.waited_ms,
            "request" => call.id(), "outcome" => ?Outcome::Answered, "status" => status.as_u16(),
            "reason" => reason, "route" => &call.route.name,
            "customer" => call.customer.as_deref(), "endpoint" => endpoint,
            "sendings" => self.runs + self.misses, "document_version" => call.catalog.version(),
            "duration_ms" => duration_ms);
    }

    /// Tries again after an answer that cannot be passed on, or says why not.
    fn retry(&self, reason: &str) -> Option<Result<Response<ReplyBody>, Refusal>> {
        if self.may_run_again() {
            debug!(self.shared.log, "request sent again"; "request" => self.call.id(),
                "reason" => reason);
            return None;
        }
        Some(Err(Refusal::failed(reason)))
    }

    fn note_wait(&mut self, wait_ms: u64) {
        self.waited_ms += wait_ms;
        let kind = self.call.route.retry_class.name();
        self.shared.metrics.waited(kind, wait_ms);
    }

    /// Notes a sending without an answer; says why there is no other one, if so.
    fn note_miss(&mut self, miss: &Miss) -> Option<Refusal> {
        let reason = miss.to_string();
        debug!(self.shared.log, "sending failed"; "request" => self.call.id(),
            "endpoint" => self.excluded.last(), "reason" => &reason);
        match miss {
            Miss::Failed(_) => {
                self.runs += 1;
                (!self.may_run_again()).then(|| Refusal::failed(reason))
            }
            Miss::TimedOut => {
                self.runs += 1;
                (!self.may_run_again()).then(|| Refusal::timed_out(reason))
            }
            Miss::Rejected(_) | Miss::Unreachable(_) => {
                self.misses += 1;
                (self.misses >= MISSES_MAX).then(|| self.unserved(&reason))
            }
        }
    }

    fn unserved(&self, reason: &str) -> Refusal {
        if self.runs > 0 {
            return Refusal::failed(reason);
        }
        Refusal::not_run(reason, REPEAT_WAIT_MS)
    }

    fn may_run_again(&self) -> bool {
        let route = &self.call.route;
        route.retry_class.is_idempotent() && self.runs < route.attempts_max
    }

    fn want(&self) -> Want {
        let call = &self.call;
        let demand = call.demand();
        let read_ms = demand.prefill_tokens / PREFILL_TOKENS_PER_MS;
        let target_ms = call.route.target_latency_ms * WAIT_PERCENT / 100;
        let wait_ms = target_ms.saturating_sub(read_ms + call.elapsed_ms());
        let wait_ms = if self.runs + self.misses > 0 {
            wait_ms.max(REPEAT_WAIT_MS)
        } else {
            wait_ms
        };
        Want {
            demand,
            excluded: self.excluded.clone(),
            leaves: None,
            priority: call.priority,
            service: call.service.clone(),
            wait_ms: wait_ms.min(call.left_ms()),
        }
    }

    /// Time for the head of an answer, after which another endpoint may be tried.
    fn limit_ms(&self) -> u64 {
        let route = &self.call.route;
        let is_last = !route.retry_class.is_idempotent() || self.runs + 1 >= route.attempts_max;
        let left_ms = self.call.left_ms();
        if is_last {
            return left_ms;
        }
        let patience_ms = if route.retry_class.is_stream() {
            route.target_latency_ms * STREAM_TARGETS
        } else {
            route.target_latency_ms
        };
        left_ms.min(patience_ms.max(ATTEMPT_MS_MIN))
    }

    fn request(&self, endpoint: &str, resumption: &Resumption<'_>) -> Request<Full<Bytes>> {
        let call = &self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.path.clone().into();
        let mut headers = call.headers.clone();
        let is_generation = call.head.generation.is_some();
        let attempt = AttemptHead {
            copy: resumption.copy,
            customer: call.customer.as_deref(),
            endpoint_id: endpoint,
            last_event_id: resumption.last_event_id.or(call.resumed_from()),
            priority: is_generation.then_some(call.priority),
            remaining_ms: call.left_ms(),
        };
        self.shared
            .dialect
            .write_attempt_headers(&mut headers, &attempt);
        *request.headers_mut() = headers;
        request
    }
}

impl Call {
    /// Last event that the client has, if the route lets it resume.
    fn resumed_from(&self) -> Option<u64> {
        let may_resume = self.route.retry_class.is_idempotent();
        self.head.last_event_id.filter(|_| may_resume)
    }
}

/// Keeps a connection whose answer has ended, unless the endpoint closes it.
pub(crate) fn release(connection: Connection, said: &ResponseHead, slot: &Slot) {
    if !said.closes_connection {
        slot.endpoint.pool.keep(connection, said.keep_alive_ms);
    }
}

/// Head of an answer as clients get it.
pub(crate) fn client_head(mut head: response::Parts) -> response::Parts {
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head
}

fn response(head: response::Parts, bytes: Bytes) -> Response<ReplyBody> {
    Response::from_parts(client_head(head), whole_body(bytes))
}
