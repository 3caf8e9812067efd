//! The answer to a generation request, on its way to the caller.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use names::GenerationId;
use tokio::time::Instant;

use super::body::{BodyChunk, ResponseBody};
use super::completion_encoder::CompletionEncoder;
use super::headers::OUTCOME;
use super::problem::Problem;
use super::response_sender::ResponseSender;
use crate::core::{Delivery, Failure, FinishReason, Outcome, TokenRange};

/// Answer in the making.
pub(crate) struct GenerationResponse {
    response_sender: ResponseSender,
    deadline: Instant,
    form: ResponseBuffer,
    shape: CompletionEncoder,
}

enum ResponseBuffer {
    Stream {
        includes_usage: bool,
        out: Vec<u8>,
        run: Option<TokenRange>,
    },
    Whole {
        delivery: Delivery,
        text: String,
    },
}

impl GenerationResponse {
    /// Sends the end of the answer.
    pub(crate) async fn complete(&mut self, end: FinishReason, tokens: u32) {
        match &mut self.form {
            ResponseBuffer::Stream {
                includes_usage,
                out,
                ..
            } => {
                if !self.response_sender.has_reply() {
                    self.shape.start(out);
                }
                self.shape.end(end, tokens, *includes_usage, out);
                if self.flush().await {
                    self.response_sender
                        .piece(BodyChunk::End, self.deadline)
                        .await;
                }
            }
            ResponseBuffer::Whole { delivery, text } => {
                assert_eq!(
                    delivery.delivered_tokens(),
                    tokens,
                    "a whole answer would lack tokens"
                );
                let body = self.shape.whole(text, end, tokens);
                self.response_sender.reply(whole(body));
            }
        }
    }

    /// Forgets the tokens held for a whole answer.
    pub(crate) fn discard(&mut self) {
        if let ResponseBuffer::Whole { delivery, text } = &mut self.form {
            *delivery = Delivery::default();
            text.clear();
        }
    }

    /// Sends a final error.
    pub(crate) async fn fail(&mut self, failure: Failure) {
        if !self.response_sender.has_reply() {
            self.response_sender
                .reply(Problem::failed(failure).response());
            return;
        }
        let ResponseBuffer::Stream { out, .. } = &mut self.form else {
            return;
        };
        out.extend_from_slice(b"event: error\ndata: ");
        out.extend_from_slice(&Problem::interrupted(failure).json());
        out.extend_from_slice(b"\n\n");
        if self.flush().await {
            self.response_sender
                .piece(BodyChunk::End, self.deadline)
                .await;
        }
    }

    /// Sends what is ready; false when the caller is gone or too slow.
    pub(crate) async fn flush(&mut self) -> bool {
        let ResponseBuffer::Stream { out, run, .. } = &mut self.form else {
            return true;
        };
        if out.is_empty() {
            return true;
        }
        if !self.response_sender.has_reply() {
            self.response_sender.stream(stream_head());
        }
        let piece = BodyChunk::Data {
            bytes: Bytes::from(std::mem::take(out)),
            run: run.take(),
        };
        self.response_sender.piece(piece, self.deadline).await
    }

    pub(crate) async fn gone(&mut self) {
        self.response_sender.gone().await;
    }

    /// Bytes of text that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        match &self.form {
            ResponseBuffer::Stream { .. } => 0,
            ResponseBuffer::Whole { text, .. } => text.len(),
        }
    }

    /// An answer in one piece.
    pub(crate) fn new_whole(
        response_sender: ResponseSender,
        deadline: Instant,
        shape: CompletionEncoder,
    ) -> Self {
        Self {
            response_sender,
            deadline,
            form: ResponseBuffer::Whole {
                delivery: Delivery::default(),
                text: String::new(),
            },
            shape,
        }
    }

    /// An answer token by token.
    pub(crate) fn new_stream(
        response_sender: ResponseSender,
        deadline: Instant,
        shape: CompletionEncoder,
        includes_usage: bool,
    ) -> Self {
        Self {
            response_sender,
            deadline,
            form: ResponseBuffer::Stream {
                includes_usage,
                out: Vec::new(),
                run: None,
            },
            shape,
        }
    }

    pub(crate) fn refuse(&mut self, problem: &Problem) {
        self.response_sender.reply(problem.response());
    }

    /// Takes a token.
    pub(crate) fn token(&mut self, generation: GenerationId, index: u32, text: &str) {
        let token = TokenRange {
            count: 1,
            first_index: index,
            generation,
        };
        match &mut self.form {
            ResponseBuffer::Stream { out, run, .. } => {
                if index == 0 {
                    self.shape.start(out);
                }
                self.shape.token(text, out);
                run.get_or_insert(TokenRange { count: 0, ..token }).count += 1;
            }
            ResponseBuffer::Whole {
                delivery,
                text: held,
            } => {
                delivery.deliver(token);
                held.push_str(text);
            }
        }
    }
}

fn stream_head() -> Response<()> {
    let mut head = Response::new(());
    let headers = head.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
    head
}

fn whole(body: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(body))));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
    response
}
