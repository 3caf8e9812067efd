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

/// Header by which an endpoint says that it ran nothing.
const OUTCOME: &str = "gentiancleat-outcome";

pub(crate) type Reply = Response<UnsyncBoxBody<Bytes, io::Error>>;

pub(crate) fn empty(status: StatusCode) -> Reply {
    respond(
        status,
        Full::new(Bytes::new()).map_err(|never: Infallible| match never {}),
    )
}

/// A server-sent event stream.
pub(crate) fn event_stream<S>(stream: S) -> Reply
where
    S: Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
{
    let mut reply = respond(StatusCode::OK, StreamBody::new(stream));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    reply
}

pub(crate) fn json<T: Serialize + ?Sized>(value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    let mut reply = respond(StatusCode::OK, body);
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A refusal that ran nothing.
pub(crate) fn not_run(status: StatusCode) -> Reply {
    let mut reply = empty(status);
    reply
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static("not-run"));
    reply
}

/// Reads a JSON body; none if it is broken or incomplete.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn respond<B>(status: StatusCode, body: B) -> Reply
where
    B: Body<Data = Bytes, Error = io::Error> + Send + 'static,
{
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = status;
    reply
}
