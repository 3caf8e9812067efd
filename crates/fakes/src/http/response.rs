use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header with the value `not-run` on a response to a request that was not run.
const OUTCOME_HEADER: &str = "gentiancleat-outcome";

pub(crate) type HttpResponse = Response<UnsyncBoxBody<Bytes, io::Error>>;

pub(crate) fn empty(status: StatusCode) -> HttpResponse {
    build_response(
        status,
        Full::new(Bytes::new()).map_err(|never: Infallible| match never {}),
    )
}

/// Response with a stream of server-sent events.
pub(crate) fn event_stream<S>(stream: S) -> HttpResponse
where
    S: Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
{
    let mut response = build_response(StatusCode::OK, StreamBody::new(stream));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

pub(crate) fn json<T: Serialize + ?Sized>(value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("responses are plain data");
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    let mut response = build_response(StatusCode::OK, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Rejection of a request that was not run.
pub(crate) fn not_run(status: StatusCode) -> HttpResponse {
    let mut response = empty(status);
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    response
}

/// Reads a JSON body; none if it is invalid or incomplete.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn build_response<B>(status: StatusCode, body: B) -> HttpResponse
where
    B: Body<Data = Bytes, Error = io::Error> + Send + 'static,
{
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
