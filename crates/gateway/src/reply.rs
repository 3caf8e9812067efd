use std::convert::Infallible;

use bytes::Bytes;
use futures::stream::poll_fn;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::outcome::Refusal;

/// Body of an answer to a client.
pub(crate) type ReplyBody = BoxBody<Bytes, BrokenOff>;

/// The answer cannot be completed; the connection ends without the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenOff;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

pub(crate) fn whole_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Body of the pieces that a relay sends; an error breaks it off.
pub(crate) fn relayed_body(mut pieces: mpsc::Receiver<Result<Bytes, BrokenOff>>) -> ReplyBody {
    let frames = poll_fn(move |context| {
        pieces
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

pub(crate) fn refuse(refusal: &Refusal) -> Response<ReplyBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    *response.status_mut() = refusal.status;
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        let value = HeaderValue::from_str(&seconds).expect("digits are a header value");
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

pub(crate) fn status_only(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Removes the headers that concern one connection only, also those that it names itself.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
