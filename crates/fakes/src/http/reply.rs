use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header by which an endpoint says that it ran nothing.
pub(crate) const OUTCOME: &str = "gentiancleat-outcome";

pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;
pub(crate) type Reply = Response<ReplyBody>;

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    respond(status, Bytes::new())
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let mut reply = respond(status, Bytes::from(body));
    let content_type = "application/json".parse().expect("a valid header value");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// A refusal that ran nothing.
pub(crate) fn not_run(status: StatusCode) -> Reply {
    let mut reply = empty(status);
    reply
        .headers_mut()
        .insert(OUTCOME, "not-run".parse().expect("a valid header value"));
    reply
}

/// Reads a JSON body; none if it is broken or incomplete.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// A server-sent event stream.
pub(crate) fn event_stream<S>(stream: S) -> Reply
where
    S: futures::Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
{
    let body = BodyExt::boxed_unsync(StreamBody::new(stream));
    let mut reply = Response::new(body);
    let content_type = "text/event-stream".parse().expect("a valid header value");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

fn respond(status: StatusCode, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    debug_assert!(body.size_hint().exact().is_some());
    let mut reply = Response::new(BodyExt::boxed_unsync(body));
    *reply.status_mut() = status;
    reply
}
