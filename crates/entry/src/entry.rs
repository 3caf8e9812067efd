use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::select;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::dependencies::Dependencies;
use crate::error::Error;
use crate::http::{SharedState, WriteTimeoutStream, serve};
use crate::settings::Settings;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Smallest bound on a request head that hyper takes.
const HEAD_BYTES_MIN: usize = 8 << 10;

/// Running entry; stops at once when dropped.
pub struct Entry {
    address: SocketAddr,
    /// Cancelled once every connection is closed.
    closed: CancellationToken,
    listener: JoinHandle<()>,
    shared: Arc<SharedState>,
    stop: CancellationToken,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

impl Entry {
    /// Where callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens for callers and serves them.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    #[expect(clippy::unused_async, reason = "needs a running runtime")]
    pub async fn bind(settings: Settings, dependencies: Dependencies) -> Result<Self, Error> {
        let failed = |source| Error::Bind {
            address: settings.address,
            source,
        };
        let listener = listen(settings.address).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        info!(settings.log, "entry listens"; "address" => %address);
        let shared = Arc::new(SharedState::new(settings, dependencies));
        let stop = CancellationToken::new();
        let closed = CancellationToken::new();
        let closing = closed.clone().drop_guard();
        let accepting = accept(listener, Arc::clone(&shared), stop.clone());
        let accepting = async move {
            accepting.await;
            drop(closing);
        };
        Ok(Self {
            address,
            closed,
            listener: tokio::spawn(accepting),
            shared,
            stop,
        })
    }

    /// Refuses new requests, lets every running request end, then stops listening.
    ///
    /// New requests are answered `not-run` until then. Waits for as long as requests run and until
    /// their callers have the last byte.
    pub async fn drain(&self) {
        self.begin_drain();
        let mut running = self.shared.running();
        // The sender lives in `shared`, so waiting cannot fail.
        drop(running.wait_for(|&count| count == 0).await);
        self.stop.cancel();
        self.closed.cancelled().await;
        self.shared.background.close();
        self.shared.background.wait().await;
    }

    /// Refuses new requests from now on.
    pub fn begin_drain(&self) {
        self.shared.drain();
    }

    /// Whether new requests are admitted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shared.is_draining() && self.shared.dependencies.directory.has_live_lease()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        *self.shared.running().borrow()
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: TcpListener, shared: Arc<SharedState>, stop: CancellationToken) {
    let connections = Arc::new(Semaphore::new(shared.settings.limits.connections_max));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Ok(slot) = Arc::clone(&connections).try_acquire_owned() {
                    connect(stream, slot, &shared, &graceful);
                }
            }
            Err(error) => {
                warn!(shared.settings.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves one connection of a caller.
fn connect(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    shared: &Arc<SharedState>,
    graceful: &GracefulShutdown,
) {
    let limits = &shared.settings.limits;
    let idle = Duration::from_millis(limits.client_idle_timeout_ms);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = {
        let shared = Arc::clone(shared);
        service_fn(move |request| {
            let shared = Arc::clone(&shared);
            // Boxed, so that its memory is free again while the answer is streamed.
            Box::pin(async move { Ok::<_, Infallible>(serve(shared, request).await) })
        })
    };
    let connection = Builder::new()
        .header_read_timeout(idle)
        .max_buf_size(limits.head_bytes_max.max(HEAD_BYTES_MIN))
        .max_headers(limits.headers_max)
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(WriteTimeoutStream::new(stream, idle)), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that breaks its connection is no event of ours.
        drop(connection.await);
        drop(slot);
    });
}
