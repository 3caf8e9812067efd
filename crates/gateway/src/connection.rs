//! HTTP connections to one endpoint, kept open for further requests.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Time limit for connecting: ten round trips between regions.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time limit for opening a connection ahead of its request. A busy link delays it, and no request waits.
const PREWARM_TIMEOUT_MS: u64 = 1_000;

/// Time for which an idle connection is kept if the endpoint sends no keep-alive time. Its own may
/// be less than one second, which a header in whole seconds cannot express.
const IDLE_MS_DEFAULT: u64 = 400;

/// Longest time for which an idle connection is kept.
const IDLE_MS_MAX: u64 = 4_000;

/// Percentage of the endpoint's keep-alive time for which an idle connection is kept.
const KEEP_ALIVE_PERCENT: u64 = 70;

/// Upper limit of the idle connections to one endpoint at this instance.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Percentage of an endpoint's connections that all instances together may keep idle; the others
/// are for requests.
const IDLE_CONNECTIONS_PERCENT: usize = 40;

/// Longest head of a response, together with the interim responses before it.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// Size of a connection's read buffer.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Bytes that a chunk of a body counts at least, so that the work for a body in tiny chunks is bounded
/// too.
pub(crate) const CHUNK_BYTES_MIN: usize = 32;

/// Connections to one endpoint; idle ones are reused.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    idle_max: AtomicUsize,
}

/// Pooled connection, which is closed at its expiry.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    head_limit: HeadLimit,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
}

/// Bytes that may still be read before the head of a response is complete.
///
/// hyper limits a single head, but skips any number of interim responses.
#[derive(Debug, Clone)]
struct HeadLimit(Arc<AtomicUsize>);

/// Stream that fails once it has read more than a head may have.
#[derive(Debug)]
struct HeadLimitedStream {
    head_limit: HeadLimit,
    stream: TcpStream,
}

/// Task that is aborted when this is dropped.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

/// Head of an endpoint's response, with the connection that carries its body.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) parts: response::Parts,
}

/// Reason why a request got no response head.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// The connection ended; the endpoint may have run the request.
    #[error("the connection failed after the request was sent: {0}")]
    BrokenOff(String),
    /// The endpoint did not answer properly; it may have run the request.
    #[error("the connection failed after the request was sent: {0}")]
    MayHaveRun(String),
    /// No byte of the request was sent.
    #[error("no connection: {0}")]
    NotSent(String),
}

/// Reason why a body was not collected.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    #[error("the answer broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl HeadLimit {
    fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(HEAD_BYTES_MAX)))
    }

    /// Starts to count the bytes of a head.
    fn start_head(&self) {
        self.0.store(HEAD_BYTES_MAX, Ordering::Relaxed);
    }

    /// Ends the limit until the next head; bodies are limited where they are read.
    fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn record_read(&self, bytes: usize) {
        let subtract = |left: usize| Some(left.saturating_sub(bytes));
        // The closure never returns `None`.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_limit.is_reached() {
            let reason = "the head of the response is too long";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.head_limit
            .record_read(buffer.filled().len() - filled_bytes);
        read
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::new(Vec::new()),
            idle_max: AtomicUsize::new(1),
        })
    }

    /// Limits the idle connections to this instance's share of the endpoint's `connections_max`.
    pub(crate) fn set_idle_limit(&self, connections_max: u32, instances: u32) {
        let connections = usize::try_from(connections_max).unwrap_or(usize::MAX);
        let instances = usize::try_from(instances.max(1)).unwrap_or(usize::MAX);
        let idle = connections.saturating_mul(IDLE_CONNECTIONS_PERCENT) / 100 / instances;
        let idle = idle.clamp(1, IDLE_CONNECTIONS_MAX);
        self.idle_max.store(idle, Ordering::Relaxed);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request, on an idle connection only if `may_reuse`.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        may_reuse: bool,
    ) -> Result<EndpointResponse, SendError> {
        let mut request = request;
        if may_reuse && let Some(connection) = self.pop_idle() {
            match connection.send(request).await {
                Ok(response) => return Ok(response),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = self.connect(CONNECT_TIMEOUT_MS).await?;
        connection.send(request).await.map_err(|failed| failed.0)
    }

    /// Opens an idle connection for a request that is expected soon.
    pub(crate) async fn prewarm(&self) {
        // If this fails, the request opens a connection itself.
        if let Ok(connection) = self.connect(PREWARM_TIMEOUT_MS).await {
            self.put_idle(connection, Some(IDLE_MS_MAX));
        }
    }

    /// Whether the endpoint accepts connections.
    pub(crate) async fn is_reachable(&self) -> bool {
        self.connect(CONNECT_TIMEOUT_MS).await.is_ok()
    }

    /// Keeps a connection for reuse after its last response has ended.
    pub(crate) fn put_idle(&self, connection: Connection, keep_alive_ms: Option<u64>) {
        let keep_alive_ms = keep_alive_ms.map(|time_ms| time_ms * KEEP_ALIVE_PERCENT / 100);
        let idle_ms = keep_alive_ms.unwrap_or(IDLE_MS_DEFAULT).min(IDLE_MS_MAX);
        if idle_ms == 0 || connection.is_closed() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() < self.idle_max.load(Ordering::Relaxed) {
            let expires_at = Instant::now() + Duration::from_millis(idle_ms);
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Drops expired and closed idle connections.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.lock()
            .retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
    }

    fn pop_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            if last.expires_at > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self, limit_ms: u64) -> Result<Connection, SendError> {
        let limit = Duration::from_millis(limit_ms);
        let stream = timeout(limit, TcpStream::connect(self.address))
            .await
            .map_err(|_| SendError::NotSent(format!("no answer within {limit_ms} ms")))?
            .map_err(|source| SendError::NotSent(source.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|source| SendError::NotSent(source.to_string()))?;
        let head_limit = HeadLimit::new();
        let stream = HeadLimitedStream {
            head_limit: head_limit.clone(),
            stream,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        // Errors are also returned to the request that waits on the connection.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            head_limit,
            sender,
            task: AbortOnDrop(task),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request; an error holds the request if no byte of it was sent.
    async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<EndpointResponse, (SendError, Option<Request<Full<Bytes>>>)> {
        self.head_limit.start_head();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.end_head();
                let (parts, body) = response.into_parts();
                Ok(EndpointResponse {
                    body,
                    connection: self,
                    parts,
                })
            }
            Err(mut failed) => match failed.take_message() {
                Some(unsent) => {
                    let error = SendError::NotSent(failed.error().to_string());
                    Err((error, Some(unsent)))
                }
                None if is_connection_lost(failed.error()) => {
                    Err((SendError::BrokenOff(failed.error().to_string()), None))
                }
                None => Err((SendError::MayHaveRun(failed.error().to_string()), None)),
            },
        }
    }

    /// Closes the connection, also while a response is read.
    pub(crate) fn close(&self) {
        self.task.0.abort();
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.0.is_finished()
    }
}

/// Whether the endpoint ended the connection, other than by bytes that are no response.
pub(crate) fn is_connection_lost(error: &hyper::Error) -> bool {
    let source = error.source();
    match source.and_then(|source| source.downcast_ref::<io::Error>()) {
        Some(error) => !matches!(
            error.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput | io::ErrorKind::Other
        ),
        None => error.is_incomplete_message() || error.is_closed() || error.is_canceled(),
    }
}

/// Collects a body of at most `bytes_max`. Copies the chunks: each one would keep the whole read
/// buffer that it was received in.
pub(crate) async fn collect_body(mut body: Incoming, bytes_max: usize) -> Result<Bytes, BodyError> {
    let known_bytes = body.size_hint().lower();
    if usize::try_from(known_bytes).map_or(true, |known_bytes| known_bytes > bytes_max) {
        return Err(BodyError::TooLong(bytes_max));
    }
    let mut collected = BytesMut::new();
    let mut counted_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else {
            continue;
        };
        counted_bytes += bytes.len().max(CHUNK_BYTES_MIN);
        if counted_bytes > bytes_max {
            return Err(BodyError::TooLong(bytes_max));
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
