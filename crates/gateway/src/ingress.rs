//! Takes clients' connections, and answers the balancer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use catalog::Limits;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::Error;
use crate::handler::serve;
use crate::reply::{ReplyBody, status_only};
use crate::shared::Shared;

/// Least buffer of hyper for a request head.
const HEAD_BYTES_MIN: usize = 8_192;

/// Time that the balancer takes to notice a stop: two questions, a second apart, and a margin.
const BALANCER_NOTICE_MS: u64 = 2_300;

/// Time between two looks at how many connections are left.
const LOOK_INTERVAL_MS: u64 = 20;

/// Time kept between the end of the last request and the end of the process.
const EXIT_MARGIN_MS: u64 = 400;

/// Pause after a connection could not be accepted, as for want of descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Listeners and connections of clients.
pub(crate) struct Ingress {
    closing: watch::Sender<bool>,
    connections: Arc<AtomicUsize>,
}

/// Counts a connection until it is dropped.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Ingress {
    pub(crate) async fn bind(
        shared: &Arc<Shared>,
        client_address: SocketAddr,
        ready_address: SocketAddr,
        ready_path: &'static str,
    ) -> Result<Self, Error> {
        let clients = listen(client_address).await?;
        let balancer = listen(ready_address).await?;
        let ingress = Self {
            closing: watch::channel(false).0,
            connections: Arc::new(AtomicUsize::new(0)),
        };
        let connections = Arc::clone(&ingress.connections);
        let closing = ingress.closing.subscribe();
        tokio::spawn(accept_clients(
            Arc::clone(shared),
            clients,
            connections,
            closing,
        ));
        tokio::spawn(answer_balancer(Arc::clone(shared), balancer, ready_path));
        Ok(ingress)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Waits until the balancer has noticed, closes idle connections, and waits for the others.
    pub(crate) async fn drain(&self, timeout_ms: u64) {
        let began = Instant::now();
        let end = began + Duration::from_millis(timeout_ms.saturating_sub(EXIT_MARGIN_MS));
        let notice = began + Duration::from_millis(BALANCER_NOTICE_MS);
        sleep_until(notice.min(end)).await;
        self.closing.send_replace(true);
        while self.connections() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
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
                debug!(log, "connection lost"; "error" => %error);
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
    shared: Arc<Shared>,
    listener: TcpListener,
    connections: Arc<AtomicUsize>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, &shared.log) => stream,
            () = wait_until_closing(&mut closing) => return,
        };
        let Some(stream) = stream else { continue };
        connections.fetch_add(1, Ordering::Relaxed);
        let counted = Counted(Arc::clone(&connections));
        tokio::spawn(serve_client(
            Arc::clone(&shared),
            stream,
            closing.clone(),
            counted,
        ));
    }
}

async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    // A sender that is gone belongs to an instance that has stopped.
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

async fn serve_client(
    shared: Arc<Shared>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
    _counted: Counted,
) {
    let limits = match shared.catalogs.current() {
        Some(catalog) => catalog.limits(),
        None => Limits::default(),
    };
    let log = shared.log.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move {
            let mut response = serve(&shared, request).await;
            if shared.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            // The wait for the first byte of a head counts as its reading, so the longer of the
            // two times holds for both.
            .header_read_timeout(Duration::from_millis(
                limits.idle_timeout_ms.max(limits.head_timeout_ms)
            ))
            .max_buf_size(limits.head_bytes_max.max(HEAD_BYTES_MIN))
            .serve_connection(TokioIo::new(stream), service)
    );
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_until_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(log, "client connection ended"; "error" => %error);
    }
}

async fn answer_balancer(shared: Arc<Shared>, listener: TcpListener, ready_path: &'static str) {
    loop {
        let Some(stream) = accept(&listener, &shared.log).await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let log = shared.log.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = readiness(&shared, request.uri().path(), ready_path);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "balancer connection ended"; "error" => %error);
            }
        });
    }
}

fn readiness(shared: &Shared, path: &str, ready_path: &str) -> Response<ReplyBody> {
    if path != ready_path {
        return status_only(StatusCode::NOT_FOUND);
    }
    if shared.is_current() && !shared.is_draining() {
        status_only(StatusCode::OK)
    } else {
        status_only(StatusCode::SERVICE_UNAVAILABLE)
    }
}
