//! Connections to one endpoint, kept for further requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Time allowed for connecting: ten round trips between regions.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time for which an idle connection is kept where the endpoint names none; endpoints that name a
/// time in whole seconds cannot name less than one.
const IDLE_MS_UNNAMED: u64 = 400;

/// Longest time for which an idle connection is kept.
const IDLE_MS_MAX: u64 = 4_000;

/// Part of the endpoint's own time for which an idle connection is kept, in percent.
const IDLE_PERCENT: u64 = 70;

/// Idle connections kept for one endpoint, whatever it allows.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Part of the connections of an endpoint that all instances together may keep idle, in percent;
/// the others are for requests.
const IDLE_CONNECTIONS_PERCENT: usize = 40;

/// Idle connections of one endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    idle_max: AtomicUsize,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// An open connection; it is closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
}

/// Ends a task when dropped.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

/// Head of an answer, with the connection that its body comes on.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
}

/// Why no answer came.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// The endpoint may have run the request.
    #[error("the connection failed after the request was sent: {0}")]
    MayHaveRun(String),
    /// No byte of the request was sent.
    #[error("no connection: {0}")]
    NotSent(String),
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::new(Vec::new()),
            idle_max: AtomicUsize::new(1),
        })
    }

    /// Shares the connections that the endpoint takes with the other instances.
    pub(crate) fn share(&self, connections_max: u32, instances: u32) {
        let connections = usize::try_from(connections_max).unwrap_or(usize::MAX);
        let instances = usize::try_from(instances.max(1)).unwrap_or(usize::MAX);
        let idle = connections.saturating_mul(IDLE_CONNECTIONS_PERCENT) / 100 / instances;
        let idle = idle.clamp(1, IDLE_CONNECTIONS_MAX);
        self.idle_max.store(idle, Ordering::Relaxed);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request, on a kept connection only if `may_reuse`.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        may_reuse: bool,
    ) -> Result<Answer, SendError> {
        let mut request = request;
        if may_reuse && let Some(connection) = self.take_idle() {
            match connection.send(request).await {
                Ok(answer) => return Ok(answer),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = self.connect().await?;
        connection.send(request).await.map_err(|failed| failed.0)
    }

    /// Opens a connection for a request that is about to come.
    pub(crate) async fn warm(&self) {
        // The request opens one itself if this fails.
        if let Ok(connection) = self.connect().await {
            self.keep(connection, Some(IDLE_MS_MAX));
        }
    }

    /// Keeps a connection whose last answer has ended.
    pub(crate) fn keep(&self, connection: Connection, keep_alive_ms: Option<u64>) {
        let named_ms = keep_alive_ms.map(|named_ms| named_ms * IDLE_PERCENT / 100);
        let idle_ms = named_ms.unwrap_or(IDLE_MS_UNNAMED).min(IDLE_MS_MAX);
        if idle_ms == 0 || connection.is_closed() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() < self.idle_max.load(Ordering::Relaxed) {
            let until = Instant::now() + Duration::from_millis(idle_ms);
            idle.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections whose time is over.
    pub(crate) fn trim(&self) {
        let now = Instant::now();
        self.lock()
            .retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            if last.until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let time = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = timeout(time, TcpStream::connect(self.address))
            .await
            .map_err(|_| SendError::NotSent(format!("no answer within {CONNECT_TIMEOUT_MS} ms")))?
            .map_err(|source| SendError::NotSent(source.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|source| SendError::NotSent(source.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        // Failures reach the request that waits on the connection.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            sender,
            task: AbortOnDrop(task),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request; gives it back where no byte of it was sent.
    async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, (SendError, Option<Request<Full<Bytes>>>)> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Answer {
                    body,
                    connection: self,
                    head,
                })
            }
            Err(mut failed) => match failed.take_message() {
                Some(unsent) => {
                    let error = SendError::NotSent(failed.error().to_string());
                    Err((error, Some(unsent)))
                }
                None => Err((SendError::MayHaveRun(failed.error().to_string()), None)),
            },
        }
    }

    /// Whether the connection has ended.
    fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.0.is_finished()
    }
}
