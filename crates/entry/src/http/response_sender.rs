use std::future::pending;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use super::body::{BodyChunk, ResponseBody, StreamedBody};

/// Pieces that wait for a caller who reads slowly.
const PIECES_MAX: usize = 2;

/// The caller's side of one request.
pub(crate) struct ResponseSender {
    pieces: Option<mpsc::Sender<Box<BodyChunk>>>,
    reply: Option<oneshot::Sender<Response<ResponseBody>>>,
}

impl ResponseSender {
    /// Sends bytes of a streamed answer; false when the caller is gone.
    pub(crate) async fn data(&mut self, bytes: Bytes) -> bool {
        let Some(pieces) = &self.pieces else {
            return false;
        };
        let piece = BodyChunk::Data { bytes, run: None };
        pieces.send(Box::new(piece)).await.is_ok()
    }

    /// Waits until the caller is gone.
    pub(crate) async fn gone(&mut self) {
        match (&mut self.reply, &self.pieces) {
            (Some(reply), _) => reply.closed().await,
            (None, Some(pieces)) => pieces.closed().await,
            (None, None) => pending().await,
        }
    }

    pub(crate) fn has_reply(&self) -> bool {
        self.reply.is_none()
    }

    pub(crate) fn new() -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (reply, answer) = oneshot::channel();
        let response_sender = Self {
            pieces: None,
            reply: Some(reply),
        };
        (response_sender, answer)
    }

    /// Sends a piece of a streamed answer; false when the caller is gone or too slow.
    pub(crate) async fn piece(&mut self, piece: BodyChunk, deadline: Instant) -> bool {
        let Some(pieces) = &self.pieces else {
            return false;
        };
        if matches!(
            timeout_at(deadline, pieces.send(Box::new(piece))).await,
            Ok(Ok(()))
        ) {
            return true;
        }
        self.pieces = None;
        false
    }

    /// Sends a whole answer.
    pub(crate) fn reply(&mut self, response: Response<ResponseBody>) {
        if let Some(reply) = self.reply.take() {
            // A caller that is gone takes no answer.
            drop(reply.send(response));
        }
    }

    /// Starts a streamed answer.
    pub(crate) fn stream(&mut self, head: Response<()>) {
        let (pieces, body) = mpsc::channel(PIECES_MAX);
        self.pieces = Some(pieces);
        self.reply(head.map(|()| ResponseBody::Stream(StreamedBody::new(body))));
    }
}
