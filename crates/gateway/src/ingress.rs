//! Accepts client connections, and answers the load balancer's readiness checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::client_phase::{ObservedStream, PhaseObserver};
use crate::gateway::Error;
use crate::gateway_state::GatewayState;
use crate::handler::handle;
use crate::response::{ResponseBody, empty_response};

/// Least bytes of a request head that a connection can buffer. Documents may raise the limit up to
/// this size while the connection is open; the handler enforces the limit in force.
const HEAD_BUFFER_BYTES_MIN: usize = 65_536;

/// Time until the load balancer notices a drain: two readiness checks, one second apart, and a
/// margin.
const LOAD_BALANCER_NOTICE_MS: u64 = 2_300;

/// Interval at which a drain checks whether connections are left.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Handle of the listener tasks, with the number of client connections.
pub(crate) struct Ingress {
    closing: watch::Sender<bool>,
    connection_count: Arc<AtomicUsize>,
}

/// Subtracts one connection from the count when dropped.
struct ConnectionCountGuard(Arc<AtomicUsize>);

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Ingress {
    pub(crate) async fn bind(
        gateway: &Arc<GatewayState>,
        client_address: SocketAddr,
        ready_address: SocketAddr,
        ready_path: &'static str,
    ) -> Result<Self, Error> {
        let client_listener = listen(client_address).await?;
        let ready_listener = listen(ready_address).await?;
        let ingress = Self {
            closing: watch::channel(false).0,
            connection_count: Arc::new(AtomicUsize::new(0)),
        };
        let connection_count = Arc::clone(&ingress.connection_count);
        let closing = ingress.closing.subscribe();
        tokio::spawn(accept_clients(
            Arc::clone(gateway),
            client_listener,
            connection_count,
            closing,
        ));
        tokio::spawn(serve_readiness(
            Arc::clone(gateway),
            ready_listener,
            ready_path,
        ));
        Ok(ingress)
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.connection_count.load(Ordering::Relaxed)
    }

    /// Waits until the load balancer has noticed the drain, closes idle connections, and waits for
    /// the others to close.
    pub(crate) async fn drain(&self, end: Instant) {
        let noticed_at = Instant::now() + Duration::from_millis(LOAD_BALANCER_NOTICE_MS);
        sleep_until(noticed_at.min(end)).await;
        self.closing.send_replace(true);
        while self.connection_count() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

async fn accept(listener: &TcpListener, log: &Logger) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => match stream.set_nodelay(true) {
            Ok(()) => Some(stream),
            Err(error) => {
                debug!(log, "connection dropped, TCP_NODELAY not set"; "error" => %error);
                None
            }
        },
        Err(error) => {
            warn!(log, "connection not accepted"; "error" => %error);
            sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            None
        }
    }
}

async fn accept_clients(
    gateway: Arc<GatewayState>,
    listener: TcpListener,
    connection_count: Arc<AtomicUsize>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, &gateway.log) => stream,
            () = wait_until_closing(&mut closing) => return,
        };
        let Some(stream) = stream else { continue };
        connection_count.fetch_add(1, Ordering::Relaxed);
        let count_guard = ConnectionCountGuard(Arc::clone(&connection_count));
        tokio::spawn(serve_client(
            Arc::clone(&gateway),
            stream,
            closing.clone(),
            count_guard,
        ));
    }
}

async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender is dropped, so the gateway has stopped.
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

/// Waits until connections are closed, and then until no request head is received in part: hyper
/// would close a reused connection without a response to it.
async fn wait_until_closable(closing: &mut watch::Receiver<bool>, observer: &PhaseObserver) {
    wait_until_closing(closing).await;
    observer.head_received().await;
}

async fn serve_client(
    gateway: Arc<GatewayState>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
    _count_guard: ConnectionCountGuard,
) {
    let log = gateway.log.clone();
    let head_bytes_max = gateway.active_catalog.limits().head_bytes_max;
    let observer = PhaseObserver::new(&gateway.active_catalog);
    let (stream, reader) = ObservedStream::new(stream, observer.clone());
    let service = service_fn(|request| {
        let guard = observer.start_answer();
        let response = respond(&gateway, request);
        async move { Ok::<_, Infallible>(guard.attach_to(response.await)) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            // The observer measures the time instead.
            .header_read_timeout(None)
            .max_buf_size(head_bytes_max.max(HEAD_BUFFER_BYTES_MIN))
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut client_left = std::pin::pin!(reader.client_left(&observer));
    let mut is_closing = false;
    let result = loop {
        tokio::select! {
            // Received bytes are read before the connection may be closed.
            biased;
            result = connection.as_mut() => break result,
            () = client_left.as_mut() => {
                debug!(log, "client connection closed during an answer");
                return;
            }
            () = wait_until_closable(&mut closing, &observer), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            phase = observer.expired() => {
                if phase.is_reading_head() {
                    debug!(log, "client connection closed, request head incomplete");
                    return;
                }
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
        }
    };
    if let Err(error) = result {
        debug!(log, "client connection failed"; "error" => %error);
    }
}

/// Answers a client's request, and announces the close of the connection during a drain.
async fn respond(
    gateway: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = handle(gateway, request).await;
    if gateway.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve_readiness(
    gateway: Arc<GatewayState>,
    listener: TcpListener,
    ready_path: &'static str,
) {
    loop {
        let Some(stream) = accept(&listener, &gateway.log).await else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let log = gateway.log.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = readiness(&gateway, request.uri().path(), ready_path);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "readiness connection failed"; "error" => %error);
            }
        });
    }
}

fn readiness(gateway: &GatewayState, path: &str, ready_path: &str) -> Response<ResponseBody> {
    if path != ready_path {
        return empty_response(StatusCode::NOT_FOUND);
    }
    if gateway.has_valid_catalog() && !gateway.is_draining() {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::SERVICE_UNAVAILABLE)
    }
}
