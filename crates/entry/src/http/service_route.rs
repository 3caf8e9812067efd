use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode, Uri};
use names::{CustomerName, ServiceName, percent_decode};
use sha2::{Digest, Sha256};

use super::body::ResponseBody;
use super::headers::{self, IDEMPOTENCY_KEY};
use super::problem::Problem;
use super::response_sender::ResponseSender;
use super::routes::{AdmittedRequest, admit, authenticate, begin_request, read_body, task_failed};
use super::service::ServiceTask;
use super::shared_state::SharedState;
use crate::core::RetryPolicy;
use crate::dependencies::{ClaimRequest, PermitRequest, Target, TargetRef};

/// Longest idempotency key.
const KEY_BYTES_MAX: usize = 255;

/// Path prefix of calls of plain services; the name of the service follows.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Service named by a path, and the URI inside that service.
struct ServiceTarget {
    name: ServiceName,
    uri: Uri,
}

/// Serves one call of a plain service.
pub(super) async fn call(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let received_us = shared.clock.now_us();
    let customer = authenticate(&shared, request.headers())?;
    let running_request = begin_request(&shared)?;
    let service = parse_service_path(request.uri())?;
    let (mut head, body) = request.into_parts();
    let body = read_body(&shared, body).await?;
    let target = TargetRef::Service(&service.name);
    let admitted = admit(&shared, &head.headers, customer, received_us, target)?;
    let key = idempotency_key(&head)?;
    let retry_policy = retry_policy(&shared, &service, &head, key.is_some());
    let claim_request = claim_request(&admitted.customer, &head, &body, key.unwrap_or_default());
    head.headers = headers::service_headers(&head.headers);
    head.uri = service.uri;
    let (response_sender, response) = ResponseSender::new();
    let observer = shared
        .dependencies
        .observer
        .class_observer(&admitted.customer, &admitted.kind);
    let task = ServiceTask {
        body,
        claim_request,
        deadline_us: admitted.deadline_us,
        head,
        observer,
        permit_request: permit_request(&shared, admitted, service.name),
        response_sender,
        retry_policy,
        shared: Arc::clone(&shared),
    };
    shared.background_tasks.spawn(task.run(running_request));
    response.await.map_err(|_| task_failed())
}

fn claim_request(customer: &CustomerName, head: &Parts, body: &Bytes, key: String) -> ClaimRequest {
    let content_type =
        headers::text(&head.headers, &hyper::header::CONTENT_TYPE).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut digest = Sha256::new();
    for part in [
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        content_type.as_bytes(),
        body,
    ] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    ClaimRequest {
        customer: customer.clone(),
        digest: digest.finalize().into(),
        key,
        timeout_ms: 0,
    }
}

fn idempotency_key(head: &Parts) -> Result<Option<String>, Problem> {
    let Some(key) = head.headers.get(&IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match key.to_str() {
        Ok(key) if (1..=KEY_BYTES_MAX).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "key",
            "`idempotency-key` must be 1 to 255 visible ASCII characters",
        )),
    }
}

fn permit_request(
    shared: &SharedState,
    admitted: AdmittedRequest,
    name: ServiceName,
) -> PermitRequest {
    PermitRequest {
        customer: admitted.customer,
        failed_endpoints: Vec::new(),
        kind: admitted.kind,
        max_tokens: 0,
        prefix_hashes: Vec::new(),
        prompt_tokens: 0,
        region: shared.settings.region.clone(),
        target: Target::Service(name),
        timeout_ms: 0,
        urgent: admitted.is_urgent,
    }
}

fn retry_policy(
    shared: &SharedState,
    service: &ServiceTarget,
    head: &Parts,
    has_key: bool,
) -> RetryPolicy {
    let method = head.method.as_str();
    let is_repeatable = shared
        .dependencies
        .directory
        .is_repeatable(&service.name, method, service.uri.path())
        .unwrap_or_else(|| RetryPolicy::is_repeatable(method));
    RetryPolicy::new(is_repeatable, has_key)
}

fn parse_service_path(uri: &Uri) -> Result<ServiceTarget, Problem> {
    let not_found = |detail: &str| Problem::new(StatusCode::NOT_FOUND, "path", detail);
    let path = uri.path();
    let rest = path
        .strip_prefix(PATH_PREFIX)
        .ok_or_else(|| not_found("no such path"))?;
    let (name, service_path) = rest
        .find('/')
        .map_or((rest, "/"), |slash| rest.split_at(slash));
    let name = percent_decode(name)
        .and_then(|name| ServiceName::new(&name).ok())
        .ok_or_else(|| not_found("the path names no service"))?;
    let path_and_query = match uri.query() {
        Some(query) => format!("{service_path}?{query}"),
        None => service_path.to_owned(),
    };
    let path_and_query: PathAndQuery = path_and_query
        .parse()
        .map_err(|_| not_found("the path is malformed"))?;
    Ok(ServiceTarget {
        name,
        uri: Uri::from(path_and_query),
    })
}
