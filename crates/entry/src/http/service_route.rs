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
use super::routes::{AdmittedRequest, admit, authenticate, enter, lost, read_body};
use super::service::ServiceTask;
use super::shared_state::SharedState;
use crate::core::RetryPolicy;
use crate::dependencies::{ClaimRequest, PermitRequest, Target, TargetRef};

/// Longest idempotency key.
const KEY_BYTES_MAX: usize = 255;

/// Path under which plain services are called.
pub(super) const PREFIX: &str = "/services/";

/// Which service is called, and where in it.
struct ServiceTarget {
    name: ServiceName,
    target: Uri,
}

/// Answers one call of a plain service.
pub(super) async fn call(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let arrived_us = shared.clock.now_us();
    let customer = authenticate(&shared, request.headers())?;
    let running = enter(&shared)?;
    let route = route(request.uri())?;
    let (mut head, body) = request.into_parts();
    let body = read_body(&shared, body).await?;
    let work = TargetRef::Service(&route.name);
    let admitted = admit(&shared, &head.headers, customer, arrived_us, work)?;
    let key = key(&head)?;
    let repeat = repeat(&shared, &route, &head, key.is_some());
    let claim = claim(&admitted.customer, &head, &body, key.unwrap_or_default());
    head.headers = headers::to_service(&head.headers);
    head.uri = route.target;
    let (response_sender, answer) = ResponseSender::new();
    let observer = shared
        .dependencies
        .observer
        .class_observer(&admitted.customer, &admitted.kind);
    let service = ServiceTask {
        body,
        response_sender,
        claim,
        deadline_us: admitted.deadline_us,
        head,
        observer,
        permit_request: permit_request(&shared, admitted, route.name),
        repeat,
        shared: Arc::clone(&shared),
    };
    shared.background.spawn(service.run(running));
    answer.await.map_err(|_| lost())
}

fn claim(customer: &CustomerName, head: &Parts, body: &Bytes, key: String) -> ClaimRequest {
    let kind = headers::text(&head.headers, &hyper::header::CONTENT_TYPE).unwrap_or_default();
    let target = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut digest = Sha256::new();
    for part in [
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        kind.as_bytes(),
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

fn key(head: &Parts) -> Result<Option<String>, Problem> {
    let Some(key) = head.headers.get(&IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match key.to_str() {
        Ok(key) if (1..=KEY_BYTES_MAX).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => Err(Problem::bad(
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

fn repeat(shared: &SharedState, route: &ServiceTarget, head: &Parts, has_key: bool) -> RetryPolicy {
    let method = head.method.as_str();
    let is_repeatable = shared
        .dependencies
        .directory
        .is_repeatable(&route.name, method, route.target.path())
        .unwrap_or_else(|| RetryPolicy::is_repeatable(method));
    RetryPolicy::new(is_repeatable, has_key)
}

fn route(uri: &Uri) -> Result<ServiceTarget, Problem> {
    let bad = |detail: &str| Problem::bad(StatusCode::NOT_FOUND, "path", detail);
    let path = uri.path();
    let rest = path
        .strip_prefix(PREFIX)
        .ok_or_else(|| bad("no such path"))?;
    let (name, inner) = rest
        .find('/')
        .map_or((rest, "/"), |slash| rest.split_at(slash));
    let name = percent_decode(name)
        .and_then(|name| ServiceName::new(&name).ok())
        .ok_or_else(|| bad("the path names no service"))?;
    let target = match uri.query() {
        Some(query) => format!("{inner}?{query}"),
        None => inner.to_owned(),
    };
    let target: PathAndQuery = target.parse().map_err(|_| bad("the path is malformed"))?;
    Ok(ServiceTarget {
        name,
        target: Uri::from(target),
    })
}
