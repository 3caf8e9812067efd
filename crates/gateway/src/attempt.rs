//! One attempt of a request at one endpoint.
//!
//! An attempt waits for its response until the request's deadline: a silent endpoint may still
//! answer. Its owner decides whether a further attempt is made meanwhile. A dropped attempt closes
//! its connection, and the endpoint then stops its work.
//!
//! An endpoint has answered once its response is worth more than that of another one that may still
//! come: with the whole body, or with the first event of a stream.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode};
use thiserror::Error;
use tokio::sync::SetOnce;
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use crate::clock::elapsed_ms;
use crate::connection::{
    BodyError, Connection, EndpointResponse, SendError, collect_body, is_connection_lost,
};
use crate::endpoint::Endpoint;
use crate::fleet::{PlacementRequest, Slot};
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::outcome::RequestError;
use crate::response::is_delimited;
use crate::{AttemptHead, CacheCopy, EventReader, Rejection, ResponseHead};

/// Time for which a retry waits for capacity, and after which a client may retry it.
pub(crate) const RETRY_WAIT_MS: u64 = 200;

/// Time after which the endpoint that works on a stream is stopped or left, if the one that was asked to
/// continue it has sent no event. Two endpoints may work on one stream for 400 ms; the rest is for the
/// network.
pub(crate) const OVERLAP_MS_MAX: u64 = 250;

/// Longest response body that is collected before it is forwarded; streams are not collected.
const RESPONSE_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Position from which a stream resumes; the default is its start.
#[derive(Debug, Default)]
pub(crate) struct ResumePoint {
    pub(crate) copy: Option<CacheCopy>,
    /// Whether the endpoint stopped the generation itself, and may be leaving.
    pub(crate) is_return: bool,
    pub(crate) last_event_id: Option<u64>,
}

/// Response that is neither a rejection nor another request's, with its parsed head.
pub(crate) struct AcceptedResponse {
    pub(crate) body: AcceptedBody,
    pub(crate) connection: Connection,
    pub(crate) head: ResponseHead,
    pub(crate) parts: response::Parts,
}

/// Body of a response, as far as it was received.
pub(crate) enum AcceptedBody {
    /// Bytes with the first event, and the rest; no bytes if the stream ended without an event.
    Stream(Bytes, Incoming),
    Whole(Bytes),
}

/// Reason why an attempt got no response.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// The endpoint answered with an error in place of a stream, and no longer works on the request.
    #[error("the endpoint answered {0}")]
    Answered(StatusCode),
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

/// Reason why an exchange gave no response, before its crash is reported.
#[derive(Debug)]
enum ExchangeError {
    /// The endpoint ended the connection after the request was sent.
    BrokenOff(String),
    Other(AttemptError),
}

/// Result of an attempt that was placed, or the reason why it was not.
pub(crate) enum AttemptOutcome {
    Accepted(Box<AcceptedResponse>, Slot),
    Failed(AttemptError, Slot),
    /// No capacity was free, or the retry budget is spent; nothing was sent.
    NotPlaced(RequestError),
}

/// Outcome of an attempt, and how long it waited for capacity.
pub(crate) struct AttemptEnd {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) waited_ms: u64,
}

/// Attempt that has not ended.
pub(crate) struct PendingAttempt {
    end: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
    progress: Arc<AttemptProgress>,
}

/// State of an attempt that its owner sees while it is pending.
#[derive(Debug, Default)]
struct AttemptProgress {
    /// Endpoint that the request is sent to, and since when; set once capacity is occupied.
    sent_to: SetOnce<(Arc<Endpoint>, Instant)>,
    /// Whether the endpoint's delay has been counted as a failure.
    is_overdue: AtomicBool,
}

/// Starts the attempts of one request.
#[derive(Clone)]
pub(crate) struct AttemptSender {
    gateway: Arc<GatewayState>,
    request: Arc<RoutedRequest>,
}

impl PendingAttempt {
    /// Waits for the end. The future may be dropped and requested again until it has ended.
    pub(crate) fn end(&mut self) -> &mut (impl Future<Output = AttemptEnd> + Unpin) {
        &mut self.end
    }

    /// Endpoint that the request is sent to; `None` while it waits for capacity.
    pub(crate) fn endpoint(&self) -> Option<&Arc<Endpoint>> {
        let (endpoint, _) = self.progress.sent_to.get()?;
        Some(endpoint)
    }

    /// Id of the endpoint that the request is sent to; `None` while it waits for capacity.
    pub(crate) fn endpoint_id(&self) -> Option<&str> {
        Some(&self.endpoint()?.id)
    }

    /// Waits until the request was sent a time ago.
    pub(crate) fn sent_for(&self, time: Duration) -> impl Future<Output = ()> + Send + use<> {
        let progress = Arc::clone(&self.progress);
        async move {
            let (_, sent_at) = progress.sent_to.wait().await;
            sleep_until(*sent_at + time).await;
        }
    }

    /// Time from which the request was sent; `None` while it waits for capacity.
    pub(crate) fn sent_at(&self) -> Option<Instant> {
        let (_, sent_at) = self.progress.sent_to.get()?;
        Some(*sent_at)
    }

    /// Counts a failure of the endpoint, as it has not answered in time; returns whether this is
    /// the first time.
    pub(crate) fn mark_overdue(&self, now_ms: u64) -> bool {
        let sent_to = self.progress.sent_to.get();
        sent_to.is_some_and(|(endpoint, _)| self.progress.record_failure(endpoint, now_ms))
    }
}

impl AttemptProgress {
    /// Records that the request is sent now; an attempt sends it once.
    fn record_sent(&self, endpoint: &Arc<Endpoint>) {
        let sent_to = (Arc::clone(endpoint), Instant::now());
        self.sent_to
            .set(sent_to)
            .expect("an attempt sends its request once");
    }

    /// Counts a failure of the endpoint unless one was counted; returns whether it was not.
    fn record_failure(&self, endpoint: &Endpoint, now_ms: u64) -> bool {
        let is_first = !self.is_overdue.swap(true, Ordering::Relaxed);
        if is_first {
            endpoint.stats().health.record_failure(now_ms);
        }
        is_first
    }
}

impl AttemptSender {
    pub(crate) fn new(gateway: &Arc<GatewayState>, request: &Arc<RoutedRequest>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            request: Arc::clone(request),
        }
    }

    /// Starts an attempt that is placed first; `is_retry` if it needs the retry budget.
    pub(crate) fn place_and_send(
        &self,
        placement: PlacementRequest,
        resume_point: ResumePoint,
        is_retry: bool,
    ) -> PendingAttempt {
        let sender = self.clone();
        let place = async move {
            let placed = sender.place(&placement, is_retry).await;
            placed.map_err(AttemptOutcome::NotPlaced)
        };
        self.start(place, resume_point)
    }

    /// Starts an attempt at an occupied slot; if it `needs_budget`, the retry budget must allow it.
    pub(crate) fn retry_at(
        &self,
        slot: Slot,
        resume_point: ResumePoint,
        needs_budget: bool,
    ) -> PendingAttempt {
        let sender = self.clone();
        let is_return = resume_point.is_return;
        let place = async move {
            let allowed = sender.check_endpoint(&slot.endpoint, is_return);
            let allowed = allowed.and_then(|()| {
                if !needs_budget {
                    return Ok(());
                }
                let taken = sender.take_from_budget();
                taken.map_err(|error| AttemptError::Rejected(error.reason))
            });
            match allowed {
                Ok(()) => Ok(slot),
                Err(error) => Err(AttemptOutcome::Failed(error, slot)),
            }
        };
        self.start(place, resume_point)
    }

    fn start(
        &self,
        place: impl Future<Output = Result<Slot, AttemptOutcome>> + Send + 'static,
        resume_point: ResumePoint,
    ) -> PendingAttempt {
        let sender = self.clone();
        let progress = Arc::new(AttemptProgress::default());
        let shared_progress = Arc::clone(&progress);
        let end = async move {
            let wait_started_at = Instant::now();
            let placed = place.await;
            let waited_ms = elapsed_ms(wait_started_at);
            let outcome = match placed {
                Ok(slot) => sender.exchange(slot, &resume_point, &shared_progress).await,
                Err(outcome) => outcome,
            };
            AttemptEnd { outcome, waited_ms }
        };
        PendingAttempt {
            end: Box::pin(end),
            progress,
        }
    }

    async fn place(
        &self,
        placement: &PlacementRequest,
        is_retry: bool,
    ) -> Result<Slot, RequestError> {
        let slot = self.gateway.admit(placement).await?;
        if is_retry {
            self.take_from_budget()?;
        }
        Ok(slot)
    }

    fn take_from_budget(&self) -> Result<(), RequestError> {
        if self.gateway.try_retry(&self.request.service) {
            return Ok(());
        }
        Err(RequestError::not_run(
            "the budget for repeats is spent",
            RETRY_WAIT_MS,
        ))
    }

    /// Rejects an attempt whose endpoint began to leave or to pause after capacity was occupied there.
    fn check_endpoint(&self, endpoint: &Endpoint, is_return: bool) -> Result<(), AttemptError> {
        if is_return && endpoint.takes_returns()
            || endpoint.takes_requests(self.gateway.fleet.now_ms())
        {
            return Ok(());
        }
        let reason = "the endpoint takes no requests now";
        Err(AttemptError::Rejected(reason.to_owned()))
    }

    /// Sends the request, and waits for the head of its response until the deadline.
    async fn exchange(
        &self,
        slot: Slot,
        resume_point: &ResumePoint,
        progress: &AttemptProgress,
    ) -> AttemptOutcome {
        if let Err(error) = self.check_endpoint(&slot.endpoint, resume_point.is_return) {
            return AttemptOutcome::Failed(error, slot);
        }
        let is_probe = match self.gateway.take_probe(&self.request) {
            Ok(is_probe) => is_probe,
            Err(refused) if resume_point.copy.is_some() => {
                return AttemptOutcome::Failed(AttemptError::Rejected(refused.reason), slot);
            }
            Err(refused) => return AttemptOutcome::NotPlaced(refused),
        };
        let endpoint = &slot.endpoint;
        progress.record_sent(endpoint);
        let answered = self.request_response(endpoint, resume_point, progress);
        match answered.await {
            Ok(accepted) => AttemptOutcome::Accepted(Box::new(accepted), slot),
            Err(error) => {
                let is_not_run = matches!(
                    error,
                    AttemptError::Rejected(_) | AttemptError::Unreachable(_)
                );
                if is_probe && is_not_run {
                    self.request.part_evidence.return_probe();
                }
                AttemptOutcome::Failed(error, slot)
            }
        }
    }

    async fn request_response(
        &self,
        endpoint: &Endpoint,
        resume_point: &ResumePoint,
        progress: &AttemptProgress,
    ) -> Result<AcceptedResponse, AttemptError> {
        let request = self.endpoint_request(&endpoint.id, resume_point);
        let is_copied = resume_point.copy.is_some();
        let may_reuse = is_copied || self.request.route.retry_class.is_idempotent();
        let answered = async {
            let sent = self.gateway.send(endpoint, request, may_reuse).await;
            let (response, head) = sent.map_err(ExchangeError::from)?;
            self.accept(endpoint, response, head).await
        };
        let sent_at = Instant::now();
        let answered = timeout_at(self.request.deadline, answered).await;
        let answered = answered.unwrap_or(Err(ExchangeError::Other(AttemptError::TimedOut)));
        let answered = answered.map_err(|error| match error {
            ExchangeError::BrokenOff(reason) => {
                let gateway = &self.gateway;
                gateway.report_crash(&self.request, endpoint, sent_at, &reason);
                AttemptError::Failed(reason)
            }
            ExchangeError::Other(error) => error,
        });
        let now_ms = self.gateway.fleet.now_ms();
        match &answered {
            Err(AttemptError::Unreachable(_)) => {
                endpoint.stats().health.record_unreachable(now_ms);
            }
            Err(AttemptError::Failed(_) | AttemptError::TimedOut) => {
                progress.record_failure(endpoint, now_ms);
            }
            Ok(_) | Err(AttemptError::Answered(_) | AttemptError::Rejected(_)) => {}
        }
        answered
    }

    /// Checks the head of a response, and waits until the endpoint has answered.
    async fn accept(
        &self,
        endpoint: &Endpoint,
        response: EndpointResponse,
        head: ResponseHead,
    ) -> Result<AcceptedResponse, ExchangeError> {
        let EndpointResponse {
            body,
            connection,
            parts,
        } = response;
        let status = parts.status;
        match head.rejection {
            Some(Rejection::Misdirected) => {
                endpoint.set_leaving();
                let reason = "another endpoint has the address".to_owned();
                return Err(AttemptError::Rejected(reason).into());
            }
            Some(Rejection::NotRun) => {
                let reason = format!("the endpoint answered {status}");
                return Err(AttemptError::Rejected(reason).into());
            }
            None => {}
        }
        if head.request_id.as_deref() != self.request.head.request_id.as_deref() {
            let reason = "the answer is another request's".to_owned();
            return Err(AttemptError::Failed(reason).into());
        }
        let body = if status == StatusCode::OK && self.request.route.retry_class.is_stream() {
            read_first_event(body, is_delimited(&parts)).await?
        } else {
            let collected = collect_body(body, RESPONSE_BYTES_MAX).await;
            AcceptedBody::Whole(collected?)
        };
        Ok(AcceptedResponse {
            body,
            connection,
            head,
            parts,
        })
    }

    fn endpoint_request(
        &self,
        endpoint_id: &str,
        resume_point: &ResumePoint,
    ) -> Request<Full<Bytes>> {
        let routed = &self.request;
        let mut request = Request::new(Full::new(routed.body.clone()));
        *request.method_mut() = routed.method.clone();
        *request.uri_mut() = routed.path.clone().into();
        let mut headers = routed.headers.clone();
        let is_generation = routed.head.generation.is_some();
        let attempt = AttemptHead {
            copy: resume_point.copy.as_ref(),
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

impl From<AttemptError> for ExchangeError {
    fn from(error: AttemptError) -> Self {
        Self::Other(error)
    }
}

impl From<SendError> for ExchangeError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::BrokenOff(reason) => Self::BrokenOff(reason),
            SendError::MayHaveRun(reason) => Self::Other(AttemptError::Failed(reason)),
            SendError::NotSent(reason) => Self::Other(AttemptError::Unreachable(reason)),
        }
    }
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match &error {
            BodyError::BrokenOff(cause) if is_connection_lost(cause) => {
                Self::BrokenOff(error.to_string())
            }
            _ => Self::Other(AttemptError::Failed(error.to_string())),
        }
    }
}

/// Reads a stream up to its first whole event, or to its end if that shows that it is complete.
async fn read_first_event(
    mut body: Incoming,
    is_delimited: bool,
) -> Result<AcceptedBody, ExchangeError> {
    let mut reader = EventReader::default();
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let reason = format!("the stream broke off before an event: {error}");
            if is_connection_lost(&error) {
                ExchangeError::BrokenOff(reason)
            } else {
                ExchangeError::Other(AttemptError::Failed(reason))
            }
        })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        received.extend_from_slice(&bytes);
        if !reader.push_until_event(bytes).is_empty() {
            return Ok(AcceptedBody::Stream(received.freeze(), body));
        }
        if reader.is_partial_too_long() {
            return Err(AttemptError::Failed("an event is too long".to_owned()).into());
        }
    }
    if reader.has_partial_event() {
        let reason = "the stream broke off within its first event";
        return Err(ExchangeError::BrokenOff(reason.to_owned()));
    }
    if !is_delimited {
        let reason = "the connection ended before an event";
        return Err(ExchangeError::BrokenOff(reason.to_owned()));
    }
    Ok(AcceptedBody::Stream(received.freeze(), body))
}

impl RoutedRequest {
    /// Whether the client resumes a stream.
    pub(crate) fn continues_stream(&self) -> bool {
        self.client_last_event_id().is_some()
    }

    /// Last event that the client received, if the route allows it to resume a stream.
    fn client_last_event_id(&self) -> Option<u64> {
        let may_resume = self.route.retry_class.is_idempotent();
        self.head.last_event_id.filter(|_| may_resume)
    }
}
