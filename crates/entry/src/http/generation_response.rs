//! Response to a generation request, streamed or buffered.

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
use crate::core::{CallFailure, Delivery, FinishReason, Outcome, TokenRange};

/// Encodes a generation and sends it to the client.
pub(crate) struct GenerationResponse {
    buffer: ResponseBuffer,
    deadline: Instant,
    encoder: CompletionEncoder,
    response_sender: ResponseSender,
}

/// Output that is not sent yet.
enum ResponseBuffer {
    Buffered {
        delivery: Delivery,
        text: String,
    },
    Stream {
        encoded: Vec<u8>,
        includes_usage: bool,
        tokens: Option<TokenRange>,
    },
}

impl GenerationResponse {
    /// Sends the end of the response.
    pub(crate) async fn complete(&mut self, reason: FinishReason, tokens: u32) {
        match &mut self.buffer {
            ResponseBuffer::Stream {
                encoded,
                includes_usage,
                ..
            } => {
                if !self.response_sender.has_started() {
                    self.encoder.encode_start(encoded);
                }
                self.encoder
                    .encode_end(reason, tokens, *includes_usage, encoded);
                if self.flush().await {
                    self.response_sender
                        .send_chunk(BodyChunk::End, self.deadline)
                        .await;
                }
            }
            ResponseBuffer::Buffered { delivery, text } => {
                assert_eq!(
                    delivery.delivered_tokens(),
                    tokens,
                    "a buffered response would lack tokens"
                );
                let body = self.encoder.encode_buffered(text, reason, tokens);
                self.response_sender.respond(json_response(body));
            }
        }
    }

    /// Discards the tokens of a buffered response.
    pub(crate) fn discard(&mut self) {
        if let ResponseBuffer::Buffered { delivery, text } = &mut self.buffer {
            *delivery = Delivery::default();
            text.clear();
        }
    }

    /// Sends a final error.
    pub(crate) async fn fail(&mut self, failure: CallFailure) {
        if !self.response_sender.has_started() {
            self.response_sender
                .respond(Problem::failed(failure).response());
            return;
        }
        let ResponseBuffer::Stream { encoded, .. } = &mut self.buffer else {
            return;
        };
        encoded.extend_from_slice(b"event: error\ndata: ");
        encoded.extend_from_slice(&Problem::interrupted(failure).json());
        encoded.extend_from_slice(b"\n\n");
        if self.flush().await {
            self.response_sender
                .send_chunk(BodyChunk::End, self.deadline)
                .await;
        }
    }

    /// Sends the encoded output; false if the client has disconnected or reads too slowly.
    pub(crate) async fn flush(&mut self) -> bool {
        let ResponseBuffer::Stream {
            encoded, tokens, ..
        } = &mut self.buffer
        else {
            return true;
        };
        if encoded.is_empty() {
            return true;
        }
        if !self.response_sender.has_started() {
            self.response_sender.start_stream(stream_head());
        }
        let chunk = BodyChunk::Data {
            bytes: Bytes::from(std::mem::take(encoded)),
            tokens: tokens.take(),
        };
        self.response_sender.send_chunk(chunk, self.deadline).await
    }

    pub(crate) async fn client_disconnected(&mut self) {
        self.response_sender.disconnected().await;
    }

    /// Length of the text of a buffered response.
    pub(crate) fn buffered_bytes(&self) -> usize {
        match &self.buffer {
            ResponseBuffer::Stream { .. } => 0,
            ResponseBuffer::Buffered { text, .. } => text.len(),
        }
    }

    pub(crate) fn new_buffered(
        response_sender: ResponseSender,
        deadline: Instant,
        encoder: CompletionEncoder,
    ) -> Self {
        Self {
            buffer: ResponseBuffer::Buffered {
                delivery: Delivery::default(),
                text: String::new(),
            },
            deadline,
            encoder,
            response_sender,
        }
    }

    pub(crate) fn new_stream(
        response_sender: ResponseSender,
        deadline: Instant,
        encoder: CompletionEncoder,
        includes_usage: bool,
    ) -> Self {
        Self {
            buffer: ResponseBuffer::Stream {
                encoded: Vec::new(),
                includes_usage,
                tokens: None,
            },
            deadline,
            encoder,
            response_sender,
        }
    }

    pub(crate) fn refuse(&mut self, problem: &Problem) {
        self.response_sender.respond(problem.response());
    }

    /// Encodes or buffers a token.
    pub(crate) fn push_token(&mut self, generation: GenerationId, index: u32, text: &str) {
        let token = TokenRange {
            count: 1,
            first_index: index,
            generation,
        };
        match &mut self.buffer {
            ResponseBuffer::Stream {
                encoded, tokens, ..
            } => {
                if index == 0 {
                    self.encoder.encode_start(encoded);
                }
                self.encoder.encode_token(text, encoded);
                tokens.get_or_insert(TokenRange { count: 0, ..token }).count += 1;
            }
            ResponseBuffer::Buffered {
                delivery,
                text: buffered_text,
            } => {
                delivery.deliver(token);
                buffered_text.push_str(text);
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

fn json_response(body: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(body))));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
    response
}
