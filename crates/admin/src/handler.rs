use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Serialize;
use slog::{Logger, info};
use tokio::sync::Semaphore;

use crate::problem_document::ProblemDocument;
use crate::route::Route;
use crate::{
    Backend, MetricsSource, Operator, Readiness, csv_handler, edit_handler, fleet_handler,
    key_handler, row_handler,
};

const CSV_REQUESTS_MAX: usize = 2;
const KEY_BYTES_MAX: usize = 256;

/// Response, or the problem document to respond with.
pub(crate) type HandlerResult = Result<Response<Full<Bytes>>, ProblemDocument>;

/// Headers and query of an authorised request, with its operator.
pub(crate) struct AuthorisedRequest {
    pub(crate) headers: HeaderMap,
    pub(crate) operator: Operator,
    pub(crate) query: String,
}

/// Routes, authorises and answers HTTP requests.
pub(crate) struct AdminHandler {
    pub(crate) backend: Arc<dyn Backend>,
    /// Limits concurrent requests for table files, because each holds a whole table in memory.
    pub(crate) csv_permits: Semaphore,
    log: Logger,
    metrics: Arc<dyn MetricsSource>,
}

impl AdminHandler {
    pub(crate) fn new(
        backend: Arc<dyn Backend>,
        metrics: Arc<dyn MetricsSource>,
        log: Logger,
    ) -> Self {
        Self {
            backend,
            csv_permits: Semaphore::new(CSV_REQUESTS_MAX),
            log,
            metrics,
        }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match Route::find(request.method(), request.uri().path()) {
            Ok(Route::Health) => text(StatusCode::OK, "ok\n".to_owned()),
            Ok(Route::Metrics) => text(StatusCode::OK, self.metrics.prometheus_text()),
            Ok(Route::Ready) => self.readiness_response(),
            Ok(route) => self.handle_authorised(route, request).await,
            Err(problem) => problem.into_response(),
        }
    }

    async fn authorise(
        &self,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Operator, ProblemDocument> {
        let operator = self.backend.authenticate(bearer_key(headers)).await;
        let operator = operator.ok_or_else(ProblemDocument::unauthorised)?;
        match route.required_role() {
            Some(required) if operator.role < required => Err(ProblemDocument::forbidden(required)),
            _ => Ok(operator),
        }
    }

    async fn handle_authorised(
        &self,
        route: Route,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let (method, path) = (parts.method, parts.uri.path().to_owned());
        let operator = self.authorise(&route, &parts.headers).await;
        let operator_name = operator.as_ref().ok().map(|operator| operator.name.clone());
        let result = match operator {
            Ok(operator) => {
                let query = parts.uri.query().unwrap_or_default().to_owned();
                let headers = parts.headers;
                let request = AuthorisedRequest {
                    headers,
                    operator,
                    query,
                };
                self.dispatch(route, &request, body).await
            }
            Err(problem) => Err(problem),
        };
        let response = result.unwrap_or_else(ProblemDocument::into_response);
        info!(self.log, "operator call";
            "method" => %method,
            "operator" => operator_name.as_ref().map_or("", |name| name.as_str()),
            "path" => path,
            "status" => response.status().as_u16(),
        );
        response
    }

    fn readiness_response(&self) -> Response<Full<Bytes>> {
        match self.backend.readiness() {
            Readiness::NotReady { reason } => {
                text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
            }
            Readiness::Ready => text(StatusCode::OK, "ready\n".to_owned()),
        }
    }

    async fn dispatch(
        &self,
        route: Route,
        request: &AuthorisedRequest,
        body: Incoming,
    ) -> HandlerResult {
        match route {
            Route::DeleteKey(item_id) => key_handler::delete(self, request, item_id).await,
            Route::DeleteKind(kind) => key_handler::delete_kind(self, request, kind).await,
            Route::DeleteRow(key) => row_handler::delete(self, request, key).await,
            Route::Drain => fleet_handler::drain(self).await,
            Route::GetCsv => csv_handler::get(self).await,
            Route::GetEndpoints => fleet_handler::endpoints(self).await,
            Route::GetHistory => edit_handler::history(self, request).await,
            Route::GetInstances => fleet_handler::instances(self).await,
            Route::GetKeys => key_handler::list(self).await,
            Route::GetKinds => key_handler::list_kinds(self).await,
            Route::GetRow(key) => row_handler::get(self, request, key).await,
            Route::GetStatus => fleet_handler::status(self).await,
            Route::GetTable => row_handler::list(self, request).await,
            Route::PostEdits => edit_handler::post(self, request, body).await,
            Route::PostKey => key_handler::post(self, request, body).await,
            Route::PutCsv => csv_handler::put(self, request, body).await,
            Route::PutKind(kind) => key_handler::put_kind(self, request, kind).await,
            Route::PutRow(key) => row_handler::put(self, request, key, body).await,
            Route::Health | Route::Metrics | Route::Ready => {
                unreachable!("answered without authorisation")
            }
        }
    }
}

/// JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let mut body = serde_json::to_vec(value).expect("responses encode without failure");
    body.push(b'\n');
    with_content_type(status, "application/json", body.into())
}

/// Plain text response.
pub(crate) fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    with_content_type(status, "text/plain; charset=utf-8", text.into())
}

/// Response with a body of a content type; caches must revalidate it.
pub(crate) fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    let is_valid = scheme.eq_ignore_ascii_case("bearer") && key.len() <= KEY_BYTES_MAX;
    is_valid.then_some(key.trim())
}
