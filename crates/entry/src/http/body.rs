use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use crate::core::{Delivery, TokenRange};

/// Body of a response to a client.
pub(crate) enum ResponseBody {
    /// Sent chunk by chunk while it is produced.
    Stream(StreamedBody),
    /// Known as a whole when the response starts.
    Whole(Full<Bytes>),
}

/// Chunk of a streamed body.
#[derive(Debug)]
pub(crate) enum BodyChunk {
    /// Bytes, with the range of the tokens that they encode.
    Data {
        bytes: Bytes,
        tokens: Option<TokenRange>,
    },
    /// End of the body.
    End,
}

/// The body ended early; the connection is closed so that the client notices it.
#[derive(Debug, Error)]
#[error("the response body ended before it was complete")]
pub(crate) struct IncompleteBody;

/// Body that is received through a bounded channel; its tokens are checked by [`Delivery`].
pub(crate) struct StreamedBody {
    chunks: Receiver<Box<BodyChunk>>,
    delivery: Delivery,
    is_complete: bool,
    is_truncated: bool,
}

impl StreamedBody {
    pub(crate) fn new(chunks: Receiver<Box<BodyChunk>>) -> Self {
        Self {
            chunks,
            delivery: Delivery::default(),
            is_complete: false,
            is_truncated: false,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        match ready!(self.chunks.poll_recv(cx)).map(|chunk| *chunk) {
            None if self.is_truncated => Poll::Ready(Some(Err(IncompleteBody))),
            None => {
                // `Pending` once, so that the connection flushes its buffer before the error.
                self.is_truncated = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(BodyChunk::Data { bytes, tokens }) => {
                if let Some(tokens) = tokens {
                    self.delivery.deliver(tokens);
                }
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(BodyChunk::End) => {
                self.is_complete = true;
                Poll::Ready(None)
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Stream(stream) => stream.is_complete,
            Self::Whole(whole) => whole.is_end_stream(),
        }
    }

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut *self {
            Self::Stream(stream) => {
                let chunk = ready!(stream.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
            Self::Whole(whole) => Pin::new(whole)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Stream(_) => hyper::body::SizeHint::default(),
            Self::Whole(whole) => whole.size_hint(),
        }
    }
}
