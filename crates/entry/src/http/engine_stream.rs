//! Calls to an engine.

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

/// Tries of a cancellation.
const CANCEL_TRIES: u32 = 4;

/// Time of one try of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the second try of a cancellation; doubles with each.
const CANCEL_DELAY: Duration = Duration::from_millis(200);

/// Body of a start.
#[derive(Debug, Serialize)]
pub(crate) struct StartBody<'a> {
    pub(crate) max_tokens: u32,
    pub(crate) model: &'a str,
    pub(crate) priority: i32,
    pub(crate) prompt: &'a str,
}

/// How a link is opened.
#[derive(Debug)]
pub(crate) struct EngineRequest {
    pub(crate) address: SocketAddr,
    pub(crate) connect: Duration,
    pub(crate) generation: GenerationId,
    pub(crate) line_bytes_max: usize,
    pub(crate) timeout_ms: u64,
}

/// Open stream of one generation.
pub(crate) struct EngineStream {
    exchange: Exchange,
    pub(crate) generation: GenerationId,
    reader: EventReader,
}

impl EngineRequest {
    /// Streams the generation again from a token index.
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
        let mut exchange = Exchange::send(self.address, request, self.connect, ReadBuffer::Small)
            .await
            .map_err(|point| GenerationEvent::ConnectionFailed { generation, point })?;
        if let Some(event) = refusal(generation, &exchange) {
            return Err(event);
        }
        exchange.forget_head();
        Ok(Box::new(EngineStream {
            exchange,
            generation,
            reader: EventReader::new(generation, self.line_bytes_max),
        }))
    }
}

impl EngineStream {
    /// Waits for the next piece of the stream.
    pub(crate) async fn piece(&mut self) -> Result<Bytes, FailurePoint> {
        self.exchange.chunk().await?.ok_or(FailurePoint::Body)
    }

    /// Hands the events of a piece to `take`, until it wants no more.
    pub(crate) fn read(&mut self, piece: &Bytes, take: impl FnMut(EngineEvent<'_>) -> bool) {
        self.reader.read(piece, take);
    }
}

/// Cancels a generation; tries again a few times.
pub(crate) async fn cancel(address: SocketAddr, generation: GenerationId, log: Logger) {
    let mut delay = CANCEL_DELAY;
    for attempt in 1..=CANCEL_TRIES {
        if cancel_once(address, generation).await {
            return;
        }
        if attempt < CANCEL_TRIES {
            sleep(delay).await;
            delay *= 2;
        }
    }
    info!(log, "cancel failed"; "generation" => %generation, "address" => %address);
}

async fn cancel_once(address: SocketAddr, generation: GenerationId) -> bool {
    let path = format!("/generations/{generation}");
    let request = request(address, Method::DELETE, &path, Bytes::new());
    let sent = Exchange::send(address, request, CANCEL_TIMEOUT, ReadBuffer::Small);
    match timeout(CANCEL_TIMEOUT, sent).await {
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
        .expect("a generation's path is a valid target")
}

/// The event of an answer that is not a stream.
fn refusal(generation: GenerationId, exchange: &Exchange) -> Option<GenerationEvent> {
    let headers = exchange.response().headers();
    let status = exchange.status();
    match status {
        StatusCode::OK => {
            let is_stream = headers::text(headers, &CONTENT_TYPE)
                .is_some_and(|kind| kind.starts_with("text/event-stream"));
            (!is_stream).then_some(GenerationEvent::MalformedResponse { generation })
        }
        StatusCode::CONFLICT if !headers::says_not_run(headers) => {
            Some(GenerationEvent::IdInUse { generation })
        }
        StatusCode::NOT_FOUND => Some(GenerationEvent::GenerationNotFound { generation }),
        _ if headers::says_not_run(headers) => Some(GenerationEvent::NotRun { generation }),
        _ => Some(GenerationEvent::Rejected {
            generation,
            status: status.as_u16(),
        }),
    }
}
