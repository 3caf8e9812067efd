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

/// Delay before the next `accept` after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that the kernel queues before they are accepted.
const BACKLOG: u32 = 4_096;

/// Smallest limit on a request head that hyper accepts.
const HEAD_BYTES_MIN: usize = 8 << 10;

/// HTTP server for clients; stops at once when dropped.
pub struct Entry {
    accept_task: JoinHandle<()>,
    address: SocketAddr,
    /// Cancelled once every connection is closed.
    connections_closed: CancellationToken,
    shared: Arc<SharedState>,
    /// Cancelled when no more connections are to be accepted.
    stop_accepting: CancellationToken,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl Entry {
    /// Address on which the entry listens for clients.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts an entry that listens on the address of the settings.
    ///
    /// # Errors
    ///
    /// The address is in use or does not belong to this machine.
    #[expect(clippy::unused_async, reason = "needs a running runtime")]
    pub async fn bind(settings: Settings, dependencies: Dependencies) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind {
            address: settings.address,
            source,
        };
        let listener = listen(settings.address).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        info!(settings.log, "listening for clients"; "address" => %address);
        let shared = Arc::new(SharedState::new(settings, dependencies));
        let stop_accepting = CancellationToken::new();
        let connections_closed = CancellationToken::new();
        let closed_guard = connections_closed.clone().drop_guard();
        let accept_loop = accept_connections(listener, Arc::clone(&shared), stop_accepting.clone());
        let accept_task = async move {
            accept_loop.await;
            drop(closed_guard);
        };
        Ok(Self {
            accept_task: tokio::spawn(accept_task),
            address,
            connections_closed,
            shared,
            stop_accepting,
        })
    }

    /// Refuses new requests, waits until running requests have ended, then stops listening.
    ///
    /// New requests are answered with outcome `not-run` until then. The wait has no timeout and
    /// ends after clients have received the last byte.
    pub async fn drain(&self) {
        self.begin_drain();
        let mut running_requests = self.shared.running_requests();
        // The sender is in `shared`, so `wait_for` cannot fail.
        drop(running_requests.wait_for(|&count| count == 0).await);
        self.stop_accepting.cancel();
        self.connections_closed.cancelled().await;
        self.shared.background_tasks.close();
        self.shared.background_tasks.wait().await;
    }

    /// Refuses new requests from now on.
    pub fn begin_drain(&self) {
        self.shared.begin_drain();
    }

    /// Whether new requests are admitted: not draining, and the configuration lease is live.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shared.is_draining() && self.shared.dependencies.directory.has_live_lease()
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        *self.shared.running_requests().borrow()
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

async fn accept_connections(
    listener: TcpListener,
    shared: Arc<SharedState>,
    stop_accepting: CancellationToken,
) {
    let connection_slots = Arc::new(Semaphore::new(shared.settings.limits.connections_max));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Ok(slot) = Arc::clone(&connection_slots).try_acquire_owned() {
                    serve_connection(stream, slot, &shared, &graceful);
                }
            }
            Err(error) => {
                warn!(shared.settings.log, "client connection not accepted"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves the requests of one client connection.
fn serve_connection(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    shared: &Arc<SharedState>,
    graceful: &GracefulShutdown,
) {
    let limits = &shared.settings.limits;
    let idle_timeout = Duration::from_millis(limits.client_idle_timeout_ms);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = {
        let shared = Arc::clone(shared);
        service_fn(move |request| {
            let shared = Arc::clone(&shared);
            // Boxed, so that its memory is freed before the response is streamed.
            Box::pin(async move { Ok::<_, Infallible>(serve(shared, request).await) })
        })
    };
    let connection = Builder::new()
        .header_read_timeout(idle_timeout)
        .max_buf_size(limits.head_bytes_max.max(HEAD_BYTES_MIN))
        .max_headers(limits.headers_max)
        .timer(TokioTimer::new())
        .serve_connection(
            TokioIo::new(WriteTimeoutStream::new(stream, idle_timeout)),
            service,
        );
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error here means that the client broke the connection: nothing to do or log.
        drop(connection.await);
        drop(slot);
    });
}
