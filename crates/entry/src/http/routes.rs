use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use names::{CustomerName, KindName};
use tokio::time::timeout;

use super::body::ResponseBody;
use super::completion_encoder::CompletionEncoder;
use super::generation::GenerationTask;
use super::generation_response::GenerationResponse;
use super::headers::{self, KIND, OUTCOME, TIMEOUT_MS, URGENT};
use super::openai::{CompletionApi, CompletionRequest};
use super::problem::Problem;
use super::prompt;
use super::request_metrics::RequestMetrics;
use super::response_sender::ResponseSender;
use super::service_route;
use super::shared_state::{RunningRequest, SharedState};
use crate::core::{Outcome, ResponseMode};
use crate::dependencies::{PermitRequest, Refusal, RefusalReason, RowLimits, Target, TargetRef};

/// When a request that the entry itself refuses may be repeated.
const RETRY_AFTER_MS: u64 = 1_000;

/// A request that may be admitted.
pub(super) struct AdmittedRequest {
    pub(super) arrived_us: u64,
    pub(super) customer: CustomerName,
    pub(super) deadline_us: u64,
    pub(super) is_urgent: bool,
    pub(super) kind: KindName,
    pub(super) row: RowLimits,
}

/// Answers one request of a caller.
pub(crate) async fn serve(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let observer = Arc::clone(&shared.dependencies.observer);
    match route(shared, request).await {
        Ok(response) => response,
        Err(problem) => {
            observer.record_rejection(problem.status());
            problem.response()
        }
    }
}

async fn route(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let path = request.uri().path();
    let is_post = request.method() == Method::POST;
    match path {
        "/v1/chat/completions" if is_post => complete(shared, request, CompletionApi::Chat).await,
        "/v1/completions" if is_post => complete(shared, request, CompletionApi::Completion).await,
        "/v1/models" if request.method() == Method::GET => models(&shared, request.headers()),
        "/v1/chat/completions" | "/v1/completions" | "/v1/models" => Err(Problem::bad(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            "the path has no such method",
        )),
        _ if path.starts_with(service_route::PREFIX) => service_route::call(shared, request).await,
        _ => Err(Problem::bad(StatusCode::NOT_FOUND, "path", "no such path")),
    }
}

/// Names the customer of a request, or refuses it.
pub(super) fn authenticate(
    shared: &SharedState,
    headers: &HeaderMap,
) -> Result<CustomerName, Problem> {
    headers::text(headers, &AUTHORIZATION)
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .and_then(|(_, key)| shared.dependencies.directory.authenticate(key.trim()))
        .ok_or_else(|| {
            Problem::bad(
                StatusCode::UNAUTHORIZED,
                "key",
                "give a known key as `authorization: Bearer {key}`",
            )
        })
}

/// Refuses new work while the entry may not admit any; counts the request in.
pub(super) fn enter(shared: &SharedState) -> Result<RunningRequest, Problem> {
    let refuse = |reason| {
        Problem::refused(Refusal {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        })
    };
    if shared.is_draining() {
        return Err(refuse(RefusalReason::Draining));
    }
    if !shared.dependencies.directory.has_live_lease() {
        return Err(refuse(RefusalReason::NoLease));
    }
    shared
        .enter()
        .ok_or_else(|| refuse(RefusalReason::TooManyRequests))
}

/// Finds the row of a request and its deadline.
pub(super) fn admit(
    shared: &SharedState,
    headers: &HeaderMap,
    customer: CustomerName,
    arrived_us: u64,
    work: TargetRef<'_>,
) -> Result<AdmittedRequest, Problem> {
    let kind = match headers::text(headers, &KIND) {
        Some(kind) => KindName::new(kind)
            .map_err(|e| Problem::bad(StatusCode::BAD_REQUEST, "kind", e.to_string()))?,
        None => shared.dependencies.directory.default_kind(work),
    };
    let row = shared
        .dependencies
        .directory
        .row_limits(&customer, &kind)
        .ok_or_else(|| {
            Problem::refused(Refusal {
                reason: RefusalReason::UnknownRow,
                retry_after_ms: 0,
            })
        })?;
    let wanted_ms = match headers::text(headers, &TIMEOUT_MS) {
        Some(text) => text.parse().map_err(|_| {
            Problem::bad(
                StatusCode::BAD_REQUEST,
                "timeout",
                "`gentiancleat-timeout-ms` is not a number of milliseconds",
            )
        })?,
        None => u64::MAX,
    };
    let limits = &shared.settings.limits;
    let limit_ms = match work {
        TargetRef::Model(_) => limits.request_timeout_ms,
        TargetRef::Service(_) => limits.service_timeout_ms.min(limits.request_timeout_ms),
    };
    let timeout_ms = wanted_ms
        .min(row.timeout_ms.unwrap_or(u64::MAX))
        .min(limit_ms);
    Ok(AdmittedRequest {
        arrived_us,
        customer,
        deadline_us: arrived_us + timeout_ms * 1_000,
        is_urgent: headers::text(headers, &URGENT) == Some("true"),
        kind,
        row,
    })
}

/// The task of a request ended without an answer.
pub(super) fn lost() -> Problem {
    Problem::bad(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the request was lost inside the entry",
    )
    .with_outcome(Outcome::Unknown)
}

/// Reads the body of a request within the limits of size and time.
pub(super) async fn read_body(shared: &SharedState, body: Incoming) -> Result<Bytes, Problem> {
    let limits = &shared.settings.limits;
    let too_large = || {
        Problem::bad(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the body is larger than the limit",
        )
    };
    if body.size_hint().lower() > limits.body_bytes_max as u64 {
        return Err(too_large());
    }
    let idle = Duration::from_millis(limits.client_idle_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes_max).collect();
    match timeout(idle, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Problem::bad(
            StatusCode::BAD_REQUEST,
            "body",
            "the body was cut off",
        )),
        Err(_) => Err(Problem::bad(
            StatusCode::REQUEST_TIMEOUT,
            "body",
            "the body came too slowly",
        )),
    }
}

async fn complete(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
    api: CompletionApi,
) -> Result<Response<ResponseBody>, Problem> {
    let arrived_us = shared.clock.now_us();
    let customer = authenticate(&shared, request.headers())?;
    let running = enter(&shared)?;
    let (head, body) = request.into_parts();
    let body = read_body(&shared, body).await?;
    let wanted = api
        .read(&body)
        .map_err(|detail| Problem::bad(StatusCode::BAD_REQUEST, "request", detail))?;
    drop(body);
    let work = TargetRef::Model(&wanted.model);
    let admitted = admit(&shared, &head.headers, customer, arrived_us, work)?;
    drop(head);
    let (response_sender, answer) = ResponseSender::new();
    let generation = generation(&shared, api, wanted, admitted, response_sender);
    shared.background.spawn(generation.run(running));
    answer.await.map_err(|_| lost())
}

fn generation(
    shared: &Arc<SharedState>,
    api: CompletionApi,
    wanted: CompletionRequest,
    admitted: AdmittedRequest,
    response_sender: ResponseSender,
) -> GenerationTask {
    let prompt_tokens = prompt::tokens(&wanted.prompt);
    let id = shared.next_generation().0;
    let shape = CompletionEncoder::new(
        api,
        id,
        created_s(),
        &wanted.model,
        prompt_tokens,
        wanted.is_stream,
    );
    let deadline = shared.clock.instant(admitted.deadline_us);
    let (mode, answer) = if wanted.is_stream {
        let answer =
            GenerationResponse::new_stream(response_sender, deadline, shape, wanted.includes_usage);
        (ResponseMode::Stream, answer)
    } else {
        (
            ResponseMode::Whole,
            GenerationResponse::new_whole(response_sender, deadline, shape),
        )
    };
    let observer = shared
        .dependencies
        .observer
        .class_observer(&admitted.customer, &admitted.kind);
    let tokens_max = admitted
        .row
        .tokens_max
        .unwrap_or(u32::MAX)
        .min(shared.settings.limits.tokens_max);
    GenerationTask {
        answer,
        deadline_us: admitted.deadline_us,
        metrics: RequestMetrics::new(shared, observer, admitted.arrived_us),
        mode,
        model: wanted.model.as_str().to_owned(),
        permit_request: PermitRequest {
            customer: admitted.customer,
            failed_endpoints: Vec::new(),
            kind: admitted.kind,
            max_tokens: wanted.max_tokens.unwrap_or(tokens_max).min(tokens_max),
            prefix_hashes: prompt::prefix_hashes(&wanted.prompt),
            prompt_tokens,
            region: shared.settings.region.clone(),
            target: Target::Model(wanted.model),
            timeout_ms: 0,
            urgent: admitted.is_urgent,
        },
        prompt: wanted.prompt,
        shared: Arc::clone(shared),
    }
}

fn created_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

fn models(shared: &SharedState, headers: &HeaderMap) -> Result<Response<ResponseBody>, Problem> {
    authenticate(shared, headers)?;
    let data: Vec<_> = shared
        .dependencies
        .directory
        .models()
        .iter()
        .map(|model| {
            serde_json::json!({
                "id": model.as_str(), "object": "model", "created": 0, "owned_by": "gentiancleat",
            })
        })
        .collect();
    let body = serde_json::json!({"object": "list", "data": data}).to_string();
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(body))));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static("ran"));
    Ok(response)
}
