use std::future::pending;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use super::body::{BodyChunk, ResponseBody, StreamedBody};

/// Chunks queued for a client that reads slowly.
const QUEUED_CHUNKS_MAX: usize = 2;

/// Sends the response of one request to the hyper task that serves the client's connection.
pub(crate) struct ResponseSender {
    chunks: Option<mpsc::Sender<Box<BodyChunk>>>,
    response: Option<oneshot::Sender<Response<ResponseBody>>>,
}

impl ResponseSender {
    /// Waits until the client has disconnected.
    pub(crate) async fn disconnected(&mut self) {
        match (&mut self.response, &self.chunks) {
            (Some(response), _) => response.closed().await,
            (None, Some(chunks)) => chunks.closed().await,
            (None, None) => pending().await,
        }
    }

    /// Whether the head of the response was sent.
    pub(crate) fn has_started(&self) -> bool {
        self.response.is_none()
    }

    pub(crate) fn new() -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (sender, receiver) = oneshot::channel();
        let response_sender = Self {
            chunks: None,
            response: Some(sender),
        };
        (response_sender, receiver)
    }

    /// Sends a whole response.
    pub(crate) fn respond(&mut self, response: Response<ResponseBody>) {
        if let Some(sender) = self.response.take() {
            // Sending fails only if the client has disconnected.
            drop(sender.send(response));
        }
    }

    /// Sends bytes of a streamed body; false if the client has disconnected.
    pub(crate) async fn send_bytes(&mut self, bytes: Bytes) -> bool {
        let Some(chunks) = &self.chunks else {
            return false;
        };
        let chunk = BodyChunk::Data {
            bytes,
            tokens: None,
        };
        chunks.send(Box::new(chunk)).await.is_ok()
    }

    /// Sends a chunk of a streamed body; false if the client has disconnected or reads too slowly.
    pub(crate) async fn send_chunk(&mut self, chunk: BodyChunk, deadline: Instant) -> bool {
        let Some(chunks) = &self.chunks else {
            return false;
        };
        if matches!(
            timeout_at(deadline, chunks.send(Box::new(chunk))).await,
            Ok(Ok(()))
        ) {
            return true;
        }
        self.chunks = None;
        false
    }

    /// Sends the head of a streamed response.
    pub(crate) fn start_stream(&mut self, head: Response<()>) {
        let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS_MAX);
        self.chunks = Some(sender);
        self.respond(head.map(|()| ResponseBody::Stream(StreamedBody::new(receiver))));
    }
}
