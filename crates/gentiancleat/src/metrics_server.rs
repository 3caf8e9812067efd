//! HTTP server for the metrics of an instance on the users' platform.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, warn};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Path at which Prometheus scrapes the metrics.
const METRICS_PATH: &str = "/metrics";

/// Delay after a failed accept, such as without free file descriptors.
const ACCEPT_PAUSE_MS: u64 = 100;

/// HTTP server for the metrics; it serves until the process ends.
#[derive(Debug)]
pub(crate) struct MetricsServer;

impl MetricsServer {
    /// Listens on `address` and starts to serve.
    pub(crate) async fn bind(
        address: SocketAddr,
        metrics: &Arc<Metrics>,
        log: &Logger,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(accept_connections(
            listener,
            Arc::clone(metrics),
            log.clone(),
        ));
        Ok(Self)
    }
}

async fn accept_connections(listener: TcpListener, metrics: Arc<Metrics>, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "metrics connection not accepted"; "error" => %error);
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        let (metrics, log) = (Arc::clone(&metrics), log.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = scrape_response(&request, &metrics, &log);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "metrics connection ended with an error"; "error" => %error);
            }
        });
    }
}

fn scrape_response(
    request: &Request<Incoming>,
    metrics: &Metrics,
    log: &Logger,
) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match metrics.scrape() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            warn!(log, "metrics not encoded"; "error" => %error);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
