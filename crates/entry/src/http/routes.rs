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

/// Retry delay reported for requests that the entry itself refuses.
const RETRY_AFTER_MS: u64 = 1_000;

/// Customer, kind of work and deadline of a request that passed all checks of the entry.
pub(super) struct AdmittedRequest {
    pub(super) customer: CustomerName,
    pub(super) deadline_us: u64,
    pub(super) is_urgent: bool,
    pub(super) kind: KindName,
    pub(super) received_us: u64,
    pub(super) row_limits: RowLimits,
}

/// Serves one request of a client.
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
        "/v1/models" if request.method() == Method::GET => list_models(&shared, request.headers()),
        "/v1/chat/completions" | "/v1/completions" | "/v1/models" => Err(Problem::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            "the path has no such method",
        )),
        _ if path.starts_with(service_route::PATH_PREFIX) => {
            service_route::call(shared, request).await
        }
        _ => Err(Problem::new(StatusCode::NOT_FOUND, "path", "no such path")),
    }
}

/// The customer of the request's bearer key; fails if the key is missing or unknown.
pub(super) fn authenticate(
    shared: &SharedState,
    headers: &HeaderMap,
) -> Result<CustomerName, Problem> {
    headers::text(headers, &AUTHORIZATION)
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .and_then(|(_, key)| shared.dependencies.directory.authenticate(key.trim()))
        .ok_or_else(|| {
            Problem::new(
                StatusCode::UNAUTHORIZED,
                "key",
                "give a known key as `authorization: Bearer {key}`",
            )
        })
}

/// Counts a request as running; fails if the entry drains, has no live lease or is at its limit.
pub(super) fn begin_request(shared: &SharedState) -> Result<RunningRequest, Problem> {
    let refusal = |reason| {
        Problem::refused(Refusal {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        })
    };
    if shared.is_draining() {
        return Err(refusal(RefusalReason::Draining));
    }
    if !shared.dependencies.directory.has_live_lease() {
        return Err(refusal(RefusalReason::NoLease));
    }
    shared
        .try_begin_request()
        .ok_or_else(|| refusal(RefusalReason::TooManyRequests))
}

/// Finds kind and row of a request; its deadline is the lowest limit of client, row and entry.
pub(super) fn admit(
    shared: &SharedState,
    headers: &HeaderMap,
    customer: CustomerName,
    received_us: u64,
    target: TargetRef<'_>,
) -> Result<AdmittedRequest, Problem> {
    let kind = match headers::text(headers, &KIND) {
        Some(kind) => KindName::new(kind)
            .map_err(|error| Problem::new(StatusCode::BAD_REQUEST, "kind", error.to_string()))?,
        None => shared.dependencies.directory.default_kind(target),
    };
    let row_limits = shared
        .dependencies
        .directory
        .row_limits(&customer, &kind)
        .ok_or_else(|| {
            Problem::refused(Refusal {
                reason: RefusalReason::UnknownRow,
                retry_after_ms: 0,
            })
        })?;
    let requested_timeout_ms = match headers::text(headers, &TIMEOUT_MS) {
        Some(text) => text.parse().map_err(|_| {
            Problem::new(
                StatusCode::BAD_REQUEST,
                "timeout",
                "`gentiancleat-timeout-ms` is not a number of milliseconds",
            )
        })?,
        None => u64::MAX,
    };
    let limits = &shared.settings.limits;
    let timeout_limit_ms = match target {
        TargetRef::Model(_) => limits.request_timeout_ms,
        TargetRef::Service(_) => limits.service_timeout_ms.min(limits.request_timeout_ms),
    };
    let timeout_ms = requested_timeout_ms
        .min(row_limits.timeout_ms.unwrap_or(u64::MAX))
        .min(timeout_limit_ms);
    Ok(AdmittedRequest {
        customer,
        deadline_us: received_us + timeout_ms * 1_000,
        is_urgent: headers::text(headers, &URGENT) == Some("true"),
        kind,
        received_us,
        row_limits,
    })
}

/// The problem of a request whose task ended without a response.
pub(super) fn task_failed() -> Problem {
    Problem::new(
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
        Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the body is larger than the limit",
        )
    };
    if body.size_hint().lower() > limits.body_bytes_max as u64 {
        return Err(too_large());
    }
    let idle_timeout = Duration::from_millis(limits.client_idle_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes_max).collect();
    match timeout(idle_timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "body",
            "the body was cut off",
        )),
        Err(_) => Err(Problem::new(
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
    let received_us = shared.clock.now_us();
    let customer = authenticate(&shared, request.headers())?;
    let running_request = begin_request(&shared)?;
    let (head, body) = request.into_parts();
    let body = read_body(&shared, body).await?;
    let completion_request = api
        .parse(&body)
        .map_err(|detail| Problem::new(StatusCode::BAD_REQUEST, "request", detail))?;
    drop(body);
    let target = TargetRef::Model(&completion_request.model);
    let admitted = admit(&shared, &head.headers, customer, received_us, target)?;
    drop(head);
    let (response_sender, response) = ResponseSender::new();
    let task = generation_task(&shared, api, completion_request, admitted, response_sender);
    shared.background_tasks.spawn(task.run(running_request));
    response.await.map_err(|_| task_failed())
}

fn generation_task(
    shared: &Arc<SharedState>,
    api: CompletionApi,
    completion_request: CompletionRequest,
    admitted: AdmittedRequest,
    response_sender: ResponseSender,
) -> GenerationTask {
    let prompt_tokens = prompt::estimate_tokens(&completion_request.prompt);
    let id = shared.next_generation_id().0;
    let encoder = CompletionEncoder::new(
        api,
        id,
        unix_time_s(),
        &completion_request.model,
        prompt_tokens,
        completion_request.is_stream,
    );
    let deadline = shared.clock.instant(admitted.deadline_us);
    let (mode, response) = if completion_request.is_stream {
        let response = GenerationResponse::new_stream(
            response_sender,
            deadline,
            encoder,
            completion_request.includes_usage,
        );
        (ResponseMode::Stream, response)
    } else {
        (
            ResponseMode::Buffered,
            GenerationResponse::new_buffered(response_sender, deadline, encoder),
        )
    };
    let observer = shared
        .dependencies
        .observer
        .class_observer(&admitted.customer, &admitted.kind);
    let tokens_max = admitted
        .row_limits
        .tokens_max
        .unwrap_or(u32::MAX)
        .min(shared.settings.limits.tokens_max);
    GenerationTask {
        deadline_us: admitted.deadline_us,
        metrics: RequestMetrics::new(shared, observer, admitted.received_us),
        mode,
        model: completion_request.model.as_str().to_owned(),
        permit_request: PermitRequest {
            customer: admitted.customer,
            failed_endpoints: Vec::new(),
            kind: admitted.kind,
            max_tokens: completion_request
                .max_tokens
                .unwrap_or(tokens_max)
                .min(tokens_max),
            prefix_hashes: prompt::prefix_hashes(&completion_request.prompt),
            prompt_tokens,
            region: shared.settings.region.clone(),
            target: Target::Model(completion_request.model),
            timeout_ms: 0,
            urgent: admitted.is_urgent,
        },
        prompt: completion_request.prompt,
        response,
        shared: Arc::clone(shared),
    }
}

fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

fn list_models(
    shared: &SharedState,
    headers: &HeaderMap,
) -> Result<Response<ResponseBody>, Problem> {
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
