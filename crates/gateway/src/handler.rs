//! Takes one request from its head to its answer.

use std::sync::Arc;

use bytes::Bytes;
use catalog::{Catalog, LookupError, Route};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use placement::Demand;
use slog::info;
use tokio::time::{Duration, Instant, timeout};

use crate::attempts::Attempts;
use crate::clock::{elapsed_ms, milliseconds};
use crate::outcome::{Outcome, Refusal};
use crate::reply::{ReplyBody, refuse, strip_connection_headers};
use crate::shared::Shared;
use crate::{GenerationSize, RequestHead};

/// Time that a request without one of its own may take.
const TIMEOUT_MS_DEFAULT: u64 = 30_000;

/// Time after which a client without a valid catalog here may return: an instance that has just
/// started has one, or another leader has been elected, within it.
const NOT_READY_RETRY_MS: u64 = 600;

/// Time after which a client of an instance that stops may return, to another one.
const DRAINING_RETRY_MS: u64 = 20;

/// Margin by which a request's output is predicted above its hint, in percent; clients' hints
/// are right at the median and far off beside it.
const HINT_MARGIN_PERCENT: u64 = 120;

/// A request that is allowed.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) body: Bytes,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) customer: Option<String>,
    pub(crate) deadline: Instant,
    pub(crate) head: RequestHead,
    pub(crate) headers: HeaderMap,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) priority: u32,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) started: Instant,
}

impl Call {
    pub(crate) fn elapsed_ms(&self) -> u64 {
        elapsed_ms(self.started)
    }

    /// Time left until the client or the operator gives the request up.
    pub(crate) fn left_ms(&self) -> u64 {
        milliseconds(self.deadline.saturating_duration_since(Instant::now()))
    }

    pub(crate) fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or_default()
    }

    /// What it needs of an endpoint.
    pub(crate) fn demand(&self) -> Demand {
        match &self.head.generation {
            Some(generation) => Demand {
                kv_copy_tokens: 0,
                is_migration: false,
                prefill_tokens: generation.prompt_tokens,
                prefill_ms_max: self.route.target_latency_ms * READ_PERCENT / 100,
                predicted_tokens: generation.prompt_tokens + generation.output_tokens(),
            },
            None => Demand::default(),
        }
    }
}

impl GenerationSize {
    /// Predicted length of the output.
    pub(crate) fn output_tokens(&self) -> u64 {
        let hinted = self
            .output_tokens_hint
            .map(|hint| hint * HINT_MARGIN_PERCENT / 100);
        hinted
            .unwrap_or(self.output_tokens_max)
            .clamp(1, self.output_tokens_max.max(1))
    }
}

/// Part of the target latency in which a prompt is to be read, in percent; the rest is for the
/// way, for the first tokens and for what the estimate misses.
const READ_PERCENT: u64 = 75;

/// Answers a request of a client.
pub(crate) async fn serve(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<ReplyBody> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let mut head = shared.dialect.parse_request_head(&parts.headers);
    let unanswered = Unanswered::new(shared, head.request_id.clone(), started);
    let (call, refusal) = match read(shared, parts, body, &mut head, started).await {
        Ok(call) => {
            let call = Arc::new(call);
            let attempts = Attempts::new(Arc::clone(shared), Arc::clone(&call));
            match attempts.answer().await {
                Ok(response) => {
                    unanswered.end();
                    return response;
                }
                Err(refusal) => (Some(call), refusal),
            }
        }
        Err(refusal) => (None, refusal),
    };
    let id = unanswered.end();
    shared.note_end(call.as_deref(), refusal.outcome, elapsed_ms(started));
    info!(shared.log, "request ended"; "request" => id, "outcome" => ?refusal.outcome,
        "route" => call.as_ref().map(|call| call.route.name.clone()),
        "endpoint" => &refusal.endpoint, "status" => refusal.status.as_u16(),
        "reason" => &refusal.reason, "retry_after_ms" => refusal.retry_after_ms,
        "duration_ms" => elapsed_ms(started));
    refuse(&refusal)
}

/// A request without an answer; its client has left if it is dropped.
struct Unanswered {
    id: Option<String>,
    is_ended: bool,
    shared: Arc<Shared>,
    started: Instant,
}

impl Unanswered {
    fn new(shared: &Arc<Shared>, id: Option<String>, started: Instant) -> Self {
        Self {
            id,
            is_ended: false,
            shared: Arc::clone(shared),
            started,
        }
    }

    fn end(mut self) -> Option<String> {
        self.is_ended = true;
        self.id.take()
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let duration_ms = elapsed_ms(self.started);
        self.shared.note_end(None, Outcome::ClientLeft, duration_ms);
        info!(self.shared.log, "request ended"; "request" => &self.id,
            "outcome" => ?Outcome::ClientLeft, "reason" => "the client left before an answer",
            "duration_ms" => duration_ms);
    }
}

async fn read(
    shared: &Arc<Shared>,
    parts: Parts,
    body: Incoming,
    head: &mut RequestHead,
    started: Instant,
) -> Result<Call, Refusal> {
    let Some(catalog) = shared.catalogs.current().filter(|_| shared.is_current()) else {
        return Err(Refusal::not_run("no valid lease", NOT_READY_RETRY_MS));
    };
    let Parts {
        mut headers,
        method,
        uri,
        ..
    } = parts;
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = uri.host().or(host).unwrap_or_default().to_owned();
    let route = catalog.route(&host, uri.path()).map_err(deny)?.clone();
    let authorization = catalog
        .authorize(&route, head.api_key.as_deref())
        .map_err(deny)?;
    let customer = authorization.customer.map(|customer| customer.name.clone());
    let priority = authorization.priority;
    let service = route.pick_service(rand::random()).to_owned();
    let timeout_ms = head.timeout_ms.unwrap_or(TIMEOUT_MS_DEFAULT);
    let allowed_ms = timeout_ms.min(route.timeout_ms);
    let deadline = started + Duration::from_millis(allowed_ms);
    if shared.is_draining() && route.retry_class.is_stream() && !route.retry_class.is_idempotent() {
        return Err(Refusal::not_run("this instance stops", DRAINING_RETRY_MS));
    }
    let body_bytes_max = catalog.limits().body_bytes_max;
    let body = read_body(body, body_bytes_max, allowed_ms).await?;
    if !shared.is_current() {
        // The lease may have ended while the body came.
        return Err(Refusal::not_run("no valid lease", NOT_READY_RETRY_MS));
    }
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let path = uri.path_and_query().cloned();
    Ok(Call {
        body,
        catalog: Arc::clone(&catalog),
        customer,
        deadline,
        head: std::mem::take(head),
        headers,
        method,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        priority,
        route,
        service,
        started,
    })
}

async fn read_body(body: Incoming, bytes_max: usize, time_ms: u64) -> Result<Bytes, Refusal> {
    let collected = Limited::new(body, bytes_max).collect();
    match timeout(Duration::from_millis(time_ms), collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(
            Outcome::Malformed,
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is longer than {bytes_max} bytes"),
        )),
        Ok(Err(error)) => Err(Refusal::new(
            Outcome::Malformed,
            StatusCode::BAD_REQUEST,
            error.to_string(),
        )),
        Err(_) => Err(Refusal::timed_out("the body did not come in time")),
    }
}

fn deny(denial: LookupError) -> Refusal {
    match denial {
        LookupError::UnknownKey => Refusal::new(
            Outcome::UnknownKey,
            StatusCode::UNAUTHORIZED,
            "no customer holds the key",
        ),
        LookupError::UnknownRoute => Refusal::new(
            Outcome::UnknownRoute,
            StatusCode::NOT_FOUND,
            "no route fits the host and path",
        ),
    }
}
