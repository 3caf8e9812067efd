use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use crate::core::{Delivery, TokenRange};

/// Body of an answer to a caller.
pub(crate) enum ResponseBody {
    /// Piece by piece.
    Stream(StreamedBody),
    /// In one piece.
    Whole(Full<Bytes>),
}

/// A piece of a streamed answer.
#[derive(Debug)]
pub(crate) enum BodyChunk {
    /// Bytes, and the tokens in them.
    Data {
        bytes: Bytes,
        run: Option<TokenRange>,
    },
    /// The answer is whole.
    End,
}

/// The answer ended before it was whole; the connection is closed so that the caller sees it.
#[derive(Debug, Error)]
#[error("the answer was cut off")]
pub(crate) struct IncompleteBody;

/// Answer that is fed through a bounded channel.
pub(crate) struct StreamedBody {
    delivery: Delivery,
    is_cut: bool,
    is_whole: bool,
    pieces: Receiver<Box<BodyChunk>>,
}

impl StreamedBody {
    pub(crate) fn new(pieces: Receiver<Box<BodyChunk>>) -> Self {
        Self {
            delivery: Delivery::default(),
            is_cut: false,
            is_whole: false,
            pieces,
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.is_whole {
            return Poll::Ready(None);
        }
        match ready!(self.pieces.poll_recv(cx)).map(|piece| *piece) {
            None if self.is_cut => Poll::Ready(Some(Err(IncompleteBody))),
            None => {
                // The connection sends what it holds before it sees the cut.
                self.is_cut = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(BodyChunk::Data { bytes, run }) => {
                if let Some(run) = run {
                    self.delivery.deliver(run);
                }
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(BodyChunk::End) => {
                self.is_whole = true;
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
            Self::Stream(stream) => stream.is_whole,
            Self::Whole(whole) => whole.is_end_stream(),
        }
    }

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut *self {
            Self::Stream(stream) => {
                let piece = ready!(stream.poll_piece(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
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
