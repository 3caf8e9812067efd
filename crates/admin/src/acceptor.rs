use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::handler::AdminHandler;
use crate::{CONNECTIONS_MAX, HEADERS_TIMEOUT_MS};

const ACCEPT_RETRY_MS: u64 = 100;
const CONNECTION_TIMEOUT_MS: u64 = 10 * 60 * 1000;
const HEADER_BUFFER_BYTES_MAX: usize = 32 * 1024;
const HEADERS_MAX: usize = 64;

/// Accepts connections and serves HTTP on them until shutdown is signalled.
pub(crate) struct ConnectionAcceptor {
    pub(crate) handler: Arc<AdminHandler>,
    pub(crate) listener: TcpListener,
    pub(crate) log: Logger,
    pub(crate) shutdown: watch::Receiver<bool>,
}

impl ConnectionAcceptor {
    /// Runs until shutdown is signalled and every open request is answered.
    pub(crate) async fn run(mut self) {
        let connections = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let graceful = GracefulShutdown::new();
        // Dropping the set together with the server aborts the remaining connections.
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &connections) => accepted,
                _ = self.shutdown.wait_for(|is_requested| *is_requested) => break,
            };
            match accepted {
                Ok((stream, permit)) => {
                    tasks.spawn(self.serve_connection(stream, permit, &graceful));
                }
                Err(error) => {
                    warn!(self.log, "operator connection not accepted"; "error" => %error);
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
        graceful.shutdown().await;
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        graceful: &GracefulShutdown,
    ) -> impl Future<Output = ()> + use<> {
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .header_read_timeout(Duration::from_millis(HEADERS_TIMEOUT_MS))
            .max_buf_size(HEADER_BUFFER_BYTES_MAX)
            .max_headers(HEADERS_MAX)
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        let log = self.log.clone();
        async move {
            let time_limit = Duration::from_millis(CONNECTION_TIMEOUT_MS);
            if let Ok(Err(error)) = timeout(time_limit, connection).await {
                debug!(log, "operator connection failed"; "error" => %error);
            }
            drop(permit);
        }
    }
}

async fn accept(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(connections).acquire_owned().await;
    let permit = permit.expect("the semaphore is never closed");
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}
