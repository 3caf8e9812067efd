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

const CSV_CALLS_MAX: usize = 2;
const KEY_BYTES_MAX: usize = 256;

pub(crate) type Reply = Result<Response<Full<Bytes>>, ProblemDocument>;

/// An authorised request.
pub(crate) struct Call {
    pub(crate) headers: HeaderMap,
    pub(crate) operator: Operator,
    pub(crate) query: String,
}

/// Answers requests.
pub(crate) struct Handler {
    pub(crate) backend: Arc<dyn Backend>,
    /// Bounds the memory that whole tables take.
    pub(crate) csv_calls: Semaphore,
    log: Logger,
    metrics: Arc<dyn MetricsSource>,
}

impl Handler {
    pub(crate) fn new(
        backend: Arc<dyn Backend>,
        metrics: Arc<dyn MetricsSource>,
        log: Logger,
    ) -> Self {
        Self {
            backend,
            csv_calls: Semaphore::new(CSV_CALLS_MAX),
            log,
            metrics,
        }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match Route::find(request.method(), request.uri().path()) {
            Ok(Route::Health) => text(StatusCode::OK, "ok\n".to_owned()),
            Ok(Route::Metrics) => text(StatusCode::OK, self.metrics.text()),
            Ok(Route::Ready) => self.ready(),
            Ok(route) => self.handle_authorised(route, request).await,
            Err(problem) => problem.into_response(),
        }
    }

    async fn authorise(
        &self,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Operator, ProblemDocument> {
        let operator = self.backend.authorise(bearer_key(headers)).await;
        let operator = operator.ok_or_else(ProblemDocument::unauthorised)?;
        match route.needed_role() {
            Some(needed) if operator.role < needed => Err(ProblemDocument::forbidden(needed)),
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
        let name = operator.as_ref().ok().map(|operator| operator.name.clone());
        let reply = match operator {
            Ok(operator) => {
                let query = parts.uri.query().unwrap_or_default().to_owned();
                let headers = parts.headers;
                let call = Call {
                    headers,
                    operator,
                    query,
                };
                self.run(route, &call, body).await
            }
            Err(problem) => Err(problem),
        };
        let response = reply.unwrap_or_else(ProblemDocument::into_response);
        info!(self.log, "operator call";
            "method" => %method,
            "operator" => name.as_ref().map_or("", |name| name.as_str()),
            "path" => path,
            "status" => response.status().as_u16(),
        );
        response
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.backend.readiness() {
            Readiness::NotReady { reason } => {
                text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
            }
            Readiness::Ready => text(StatusCode::OK, "ready\n".to_owned()),
        }
    }

    async fn run(&self, route: Route, call: &Call, body: Incoming) -> Reply {
        match route {
            Route::DeleteKey(item_id) => key_handler::delete(self, call, item_id).await,
            Route::DeleteKind(kind) => key_handler::delete_kind(self, call, kind).await,
            Route::DeleteRow(key) => row_handler::delete(self, call, key).await,
            Route::Drain => fleet_handler::drain(self).await,
            Route::GetCsv => csv_handler::get(self).await,
            Route::GetEndpoints => fleet_handler::endpoints(self).await,
            Route::GetHistory => edit_handler::history(self, call).await,
            Route::GetInstances => fleet_handler::instances(self).await,
            Route::GetKeys => key_handler::list(self).await,
            Route::GetKinds => key_handler::list_kinds(self).await,
            Route::GetRow(key) => row_handler::get(self, call, key).await,
            Route::GetStatus => fleet_handler::status(self).await,
            Route::GetTable => row_handler::list(self, call).await,
            Route::PostEdits => edit_handler::post(self, call, body).await,
            Route::PostKey => key_handler::post(self, call, body).await,
            Route::PutCsv => csv_handler::put(self, call, body).await,
            Route::PutKind(kind) => key_handler::put_kind(self, call, kind).await,
            Route::PutRow(key) => row_handler::put(self, call, key, body).await,
            Route::Health | Route::Metrics | Route::Ready => {
                unreachable!("answered without a key")
            }
        }
    }
}

/// Answer with JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let mut body = serde_json::to_vec(value).expect("answers encode without failure");
    body.push(b'\n');
    with_type(status, "application/json", body.into())
}

/// Answer with plain text.
pub(crate) fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    with_type(status, "text/plain; charset=utf-8", text.into())
}

/// Answer with a body of the given type, which nobody may cache without asking.
pub(crate) fn with_type(
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
    let is_usable = scheme.eq_ignore_ascii_case("bearer") && key.len() <= KEY_BYTES_MAX;
    is_usable.then_some(key.trim())
}
