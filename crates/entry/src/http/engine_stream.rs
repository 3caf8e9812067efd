//! Requests to an engine: start, resume and cancel a generation.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use names::GenerationId;
use serde::Serialize;
use slog::{Logger, info};
use tokio::time::{sleep, timeout};

use super::event_reader::{EngineEvent, EventReader};
use super::exchange::{Exchange, ReadBuffer};
use super::headers::{self, TIMEOUT_MS};
use crate::core::{FailurePoint, GenerationEvent};

/// Most attempts to cancel a generation.
const CANCEL_ATTEMPTS_MAX: u32 = 4;

/// Longest time of one attempt to cancel a generation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the second attempt to cancel a generation; doubles with each further one.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Body of a request that starts a generation.
#[derive(Debug, Serialize)]
pub(crate) struct StartBody<'a> {
    pub(crate) max_tokens: u32,
    pub(crate) model: &'a str,
    pub(crate) priority: i32,
    pub(crate) prompt: &'a str,
}

/// Request for the event stream of a generation.
#[derive(Debug)]
pub(crate) struct EngineRequest {
    pub(crate) address: SocketAddr,
    pub(crate) connect_timeout: Duration,
    pub(crate) generation: GenerationId,
    pub(crate) line_bytes_max: usize,
    pub(crate) timeout_ms: u64,
}

/// Open event stream of one generation.
pub(crate) struct EngineStream {
    exchange: Exchange,
    pub(crate) generation: GenerationId,
    reader: EventReader,
}

impl EngineRequest {
    /// Streams the generation again, beginning with the token at index `from`.
    pub(crate) async fn resume(self, from: u32) -> Result<Box<EngineStream>, GenerationEvent> {
        let path = format!("/generations/{}/tokens?from={from}", self.generation);
        self.open(Method::GET, &path, Bytes::new()).await
    }

    /// Starts the generation.
    pub(crate) async fn start(self, body: Vec<u8>) -> Result<Box<EngineStream>, GenerationEvent> {
        let path = format!("/generations/{}", self.generation);
        self.open(Method::POST, &path, body.into()).await
    }

    async fn open(
        self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Box<EngineStream>, GenerationEvent> {
        let generation = self.generation;
        let mut request = request(self.address, method, path, body);
        request
            .headers_mut()
            .insert(TIMEOUT_MS, self.timeout_ms.into());
        let mut exchange = Exchange::send(
            self.address,
            request,
            self.connect_timeout,
            ReadBuffer::Small,
        )
        .await
        .map_err(|point| GenerationEvent::ConnectionFailed { generation, point })?;
        if let Some(event) = error_event(generation, &exchange) {
            return Err(event);
        }
        exchange.clear_headers();
        Ok(Box::new(EngineStream {
            exchange,
            generation,
            reader: EventReader::new(generation, self.line_bytes_max),
        }))
    }
}

impl EngineStream {
    /// Waits for the next chunk.
    ///
    /// The end of the body is an error, because the last event of a generation is read before it.
    pub(crate) async fn next_chunk(&mut self) -> Result<Bytes, FailurePoint> {
        self.exchange.next_chunk().await?.ok_or(FailurePoint::Body)
    }

    /// Parses the events of a chunk and passes them to `on_event` until it returns false.
    pub(crate) fn read(&mut self, chunk: &Bytes, on_event: impl FnMut(EngineEvent<'_>) -> bool) {
        self.reader.read(chunk, on_event);
    }
}

/// Cancels a generation on its engine; retries and then gives up with a log line.
pub(crate) async fn cancel_generation(address: SocketAddr, generation: GenerationId, log: Logger) {
    let mut delay = CANCEL_RETRY_DELAY;
    for attempt in 1..=CANCEL_ATTEMPTS_MAX {
        if try_cancel(address, generation).await {
            return;
        }
        if attempt < CANCEL_ATTEMPTS_MAX {
            sleep(delay).await;
            delay *= 2;
        }
    }
    info!(log, "generation not cancelled on its engine";
        "generation" => %generation, "address" => %address);
}

async fn try_cancel(address: SocketAddr, generation: GenerationId) -> bool {
    let path = format!("/generations/{generation}");
    let request = request(address, Method::DELETE, &path, Bytes::new());
    let send = Exchange::send(address, request, CANCEL_TIMEOUT, ReadBuffer::Small);
    match timeout(CANCEL_TIMEOUT, send).await {
        Ok(Ok(exchange)) => {
            exchange.status().is_success() || exchange.status() == StatusCode::NOT_FOUND
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

fn request(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the path of a generation is a valid target")
}

/// The event for a response that is not an event stream; none for an event stream.
fn error_event(generation: GenerationId, exchange: &Exchange) -> Option<GenerationEvent> {
    let headers = exchange.response().headers();
    let status = exchange.status();
    match status {
        StatusCode::OK => {
            let is_stream = headers::text(headers, &CONTENT_TYPE)
                .is_some_and(|kind| kind.starts_with("text/event-stream"));
            (!is_stream).then_some(GenerationEvent::MalformedResponse { generation })
        }
        StatusCode::CONFLICT if !headers::reports_not_run(headers) => {
            Some(GenerationEvent::IdInUse { generation })
        }
        StatusCode::NOT_FOUND => Some(GenerationEvent::GenerationNotFound { generation }),
        _ if headers::reports_not_run(headers) => Some(GenerationEvent::NotRun { generation }),
        _ => Some(GenerationEvent::Rejected {
            generation,
            status: status.as_u16(),
        }),
    }
}
