use std::convert::Infallible;
use std::task::Poll;

use bytes::Bytes;
use futures::stream::poll_fn;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::outcome::RequestError;

/// Body of a response to a client.
pub(crate) type ResponseBody = BoxBody<Bytes, IncompleteBody>;

/// Makes hyper close the connection without the end of the body, so that the client notices.
#[derive(Debug, thiserror::Error)]
#[error("the response body is incomplete")]
pub(crate) struct IncompleteBody;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Body that streams the chunks of a channel until it closes or sends an error.
///
/// hyper drops what it has buffered when a body fails. So an error right behind a chunk waits until
/// the body was pending once, where hyper writes the chunk.
pub(crate) fn channel_body(
    mut chunks: mpsc::Receiver<Result<Bytes, IncompleteBody>>,
) -> ResponseBody {
    let mut is_buffered = false;
    let mut held_error = None;
    let frames = poll_fn(move |context| {
        if let Some(error) = held_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let polled = chunks.poll_recv(context);
        let was_buffered = std::mem::replace(&mut is_buffered, polled.is_ready());
        match polled {
            Poll::Ready(Some(Err(error))) if was_buffered => {
                held_error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    });
    BodyExt::boxed(StreamBody::new(frames))
}

pub(crate) fn error_response(error: &RequestError) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = error.status;
    if let Some(retry_after_ms) = error.retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        let value = HeaderValue::from_str(&seconds).expect("digits are a header value");
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Whether the end of a response's body can be told from that of its connection.
pub(crate) fn is_delimited(parts: &response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

pub(crate) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Removes hop-by-hop headers, including those that the `Connection` header lists.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
