//! Handles a client's request: routes it, reads its body and answers it.

use std::sync::Arc;

use bytes::Bytes;
use catalog::{Catalog, LookupError, Route};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use placement::Demand;
use slog::info;
use tokio::time::{Duration, Instant};

use crate::attempts::Attempts;
use crate::clock::{elapsed_ms, milliseconds};
use crate::gateway_state::GatewayState;
use crate::outcome::{Outcome, RequestError};
use crate::part_evidence::PartEvidence;
use crate::request_body::RequestBody;
use crate::response::{ResponseBody, error_response, strip_hop_by_hop_headers};
use crate::{GenerationSize, RequestHead};

/// Timeout of requests that name none, and upper limit for those without a route.
const TIMEOUT_MS_DEFAULT: u64 = 30_000;

/// Time after which a client may retry if this instance has no valid catalog. Within this time an
/// instance that has just started gets a catalog, or a new leader is elected.
const NO_CATALOG_RETRY_AFTER_MS: u64 = 600;

/// Time after which a client of a draining instance may retry; it reaches another instance then.
const DRAINING_RETRY_AFTER_MS: u64 = 20;

/// Predicted output length as a percentage of the client's hint; hints are right at the median and
/// far off otherwise.
const OUTPUT_PER_HINT_PERCENT: u64 = 120;

/// Authorized request with its route, service and whole body.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) body: Bytes,
    /// Catalog that was active when the request was routed.
    pub(crate) catalog: Arc<Catalog>,
    /// Name of the customer, if the route requires a key.
    pub(crate) customer: Option<String>,
    pub(crate) deadline: Instant,
    pub(crate) head: RequestHead,
    pub(crate) headers: HeaderMap,
    pub(crate) method: Method,
    pub(crate) part_evidence: PartEvidence,
    pub(crate) path: PathAndQuery,
    pub(crate) priority: u32,
    pub(crate) route: Route,
    pub(crate) service: String,
    /// Software version that began the stream, if the request resumes one.
    pub(crate) software_version: Option<String>,
    pub(crate) started_at: Instant,
}

impl RoutedRequest {
    pub(crate) fn elapsed_ms(&self) -> u64 {
        elapsed_ms(self.started_at)
    }

    /// Time left until the request times out by the client's or the route's limit.
    pub(crate) fn remaining_ms(&self) -> u64 {
        milliseconds(self.deadline.saturating_duration_since(Instant::now()))
    }

    pub(crate) fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or_default()
    }

    pub(crate) fn demand(&self) -> Demand {
        match &self.head.generation {
            Some(generation) => Demand {
                kv_copy_tokens: 0,
                is_migration: false,
                prefill_tokens: generation.prompt_tokens,
                prefill_ms_max: self.route.target_latency_ms * PREFILL_PERCENT / 100,
                predicted_tokens: generation.prompt_tokens + generation.predicted_output_tokens(),
            },
            None => Demand::default(),
        }
    }
}

impl GenerationSize {
    pub(crate) fn predicted_output_tokens(&self) -> u64 {
        let hinted = self
            .output_tokens_hint
            .map(|hint| hint * OUTPUT_PER_HINT_PERCENT / 100);
        hinted
            .unwrap_or(self.output_tokens_max)
            .clamp(1, self.output_tokens_max.max(1))
    }
}

/// Percentage of the target latency that the prefill may take. The rest is for the network, the
/// first tokens and errors of the estimate.
const PREFILL_PERCENT: u64 = 75;

/// Answers a client's request, and logs and counts its end.
pub(crate) async fn handle(
    gateway: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let (parts, incoming) = request.into_parts();
    let mut head = gateway.dialect.parse_request_head(&parts.headers);
    let timeout_ms = head.timeout_ms.unwrap_or(TIMEOUT_MS_DEFAULT);
    let mut body = RequestBody {
        bytes_max: gateway.active_catalog.limits().body_bytes_max,
        deadline: started_at + Duration::from_millis(timeout_ms.min(TIMEOUT_MS_DEFAULT)),
        incoming,
        is_continue_expected: parts.headers.contains_key(header::EXPECT),
    };
    let guard = ClientLeftGuard::new(gateway, head.request_id.clone(), started_at);
    let (request, error) = match route(gateway, parts, &mut body, &mut head, started_at).await {
        Ok(request) => {
            let request = Arc::new(request);
            let attempts = Attempts::new(Arc::clone(gateway), Arc::clone(&request));
            let answered = match gateway.check_parts(&request).await {
                Ok(()) => attempts.run().await,
                Err(error) => Err(error),
            };
            match answered {
                Ok(response) => {
                    guard.disarm();
                    return response;
                }
                Err(error) => (Some(request), error),
            }
        }
        Err(error) => (None, error),
    };
    let is_body_read = body.discard().await;
    let request_id = guard.disarm();
    gateway.record_end(request.as_deref(), error.outcome, elapsed_ms(started_at));
    info!(gateway.log, "request ended"; "request" => request_id, "outcome" => ?error.outcome,
        "route" => request.as_ref().map(|request| request.route.name.clone()),
        "endpoint" => &error.endpoint_id, "status" => error.status.as_u16(),
        "reason" => &error.reason, "retry_after_ms" => error.retry_after_ms,
        "duration_ms" => elapsed_ms(started_at));
    let mut response = error_response(&error);
    if !is_body_read {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Logs and counts a client that left before its response, if dropped while armed. hyper drops the
/// future that handles the request when the client leaves.
struct ClientLeftGuard {
    gateway: Arc<GatewayState>,
    is_armed: bool,
    request_id: Option<String>,
    started_at: Instant,
}

impl ClientLeftGuard {
    fn new(gateway: &Arc<GatewayState>, request_id: Option<String>, started_at: Instant) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            is_armed: true,
            request_id,
            started_at,
        }
    }

    /// Returns the id of the request.
    fn disarm(mut self) -> Option<String> {
        self.is_armed = false;
        self.request_id.take()
    }
}

impl Drop for ClientLeftGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let duration_ms = elapsed_ms(self.started_at);
        self.gateway
            .record_end(None, Outcome::ClientLeft, duration_ms);
        info!(self.gateway.log, "request ended"; "request" => &self.request_id,
            "outcome" => ?Outcome::ClientLeft, "reason" => "the client left before an answer",
            "duration_ms" => duration_ms);
    }
}

/// Finds the route, customer and service of a request, reads its body, and takes its `head`.
async fn route(
    gateway: &Arc<GatewayState>,
    parts: Parts,
    body: &mut RequestBody,
    head: &mut RequestHead,
    started_at: Instant,
) -> Result<RoutedRequest, RequestError> {
    let Some(catalog) = gateway
        .active_catalog
        .current()
        .filter(|_| gateway.has_valid_catalog())
    else {
        return Err(RequestError::not_run(
            "no valid lease",
            NO_CATALOG_RETRY_AFTER_MS,
        ));
    };
    check_head_length(&parts, catalog.limits().head_bytes_max)?;
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
    let route = catalog
        .route(&host, uri.path())
        .map_err(request_error)?
        .clone();
    let authorization = catalog
        .authorize(&route, head.api_key.as_deref())
        .map_err(request_error)?;
    let customer = authorization.customer.map(|customer| customer.name.clone());
    let priority = authorization.priority;
    let service = route.pick_service(rand::random()).to_owned();
    let timeout_ms = head.timeout_ms.unwrap_or(TIMEOUT_MS_DEFAULT);
    let allowed_ms = timeout_ms.min(route.timeout_ms);
    body.deadline = started_at + Duration::from_millis(allowed_ms);
    if gateway.is_draining() && route.retry_class.is_stream() && !route.retry_class.is_idempotent()
    {
        return Err(RequestError::not_run(
            "this instance stops",
            DRAINING_RETRY_AFTER_MS,
        ));
    }
    let bytes = body.read().await?;
    let (service, software_version) = match gateway.resumed_origin(head, &route, &service).await? {
        Some(origin) => (origin.service, Some(origin.software_version)),
        None => (service, None),
    };
    if !gateway.has_valid_catalog() {
        // The lease may have expired while the body was read or the origin looked up.
        return Err(RequestError::not_run(
            "no valid lease",
            NO_CATALOG_RETRY_AFTER_MS,
        ));
    }
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let path = uri.path_and_query().cloned();
    Ok(RoutedRequest {
        body: bytes,
        catalog: Arc::clone(&catalog),
        customer,
        deadline: body.deadline,
        head: std::mem::take(head),
        headers,
        method,
        part_evidence: PartEvidence::default(),
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        priority,
        route,
        service,
        software_version,
        started_at,
    })
}

fn check_head_length(parts: &Parts, bytes_max: usize) -> Result<(), RequestError> {
    if head_length(parts) <= bytes_max {
        return Ok(());
    }
    Err(RequestError::new(
        Outcome::Malformed,
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        format!("the head is longer than {bytes_max} bytes"),
    ))
}

/// Bytes of a request head as sent, without optional whitespace and the host of an absolute URI.
fn head_length(parts: &Parts) -> usize {
    const REQUEST_LINE_REST: usize = "  HTTP/1.1\r\n".len();
    const HEADER_REST: usize = ": \r\n".len();
    const HEAD_END: usize = "\r\n".len();
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let request_line = parts.method.as_str().len() + path.len() + REQUEST_LINE_REST;
    let headers = parts.headers.iter();
    let header_lengths =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_REST);
    request_line + header_lengths.sum::<usize>() + HEAD_END
}

fn request_error(error: LookupError) -> RequestError {
    match error {
        LookupError::UnknownKey => RequestError::new(
            Outcome::UnknownKey,
            StatusCode::UNAUTHORIZED,
            "no customer holds the key",
        ),
        LookupError::UnknownRoute => RequestError::new(
            Outcome::UnknownRoute,
            StatusCode::NOT_FOUND,
            "no route fits the host and path",
        ),
    }
}
