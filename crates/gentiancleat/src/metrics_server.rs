//! Serves the metrics of an instance on the users' platform.

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

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Pause after a connection could not be accepted, as for want of descriptors.
const ACCEPT_PAUSE_MS: u64 = 100;

/// Server of the metrics; it serves until the process ends.
#[derive(Debug)]
pub(crate) struct MetricsServer;

impl MetricsServer {
    /// Listens on `address` and serves from then on.
    pub(crate) async fn bind(
        address: SocketAddr,
        metrics: &Arc<Metrics>,
        log: &Logger,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(run(listener, Arc::clone(metrics), log.clone()));
        Ok(Self)
    }
}

async fn run(listener: TcpListener, metrics: Arc<Metrics>, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "connection not accepted"; "error" => %error);
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        let (metrics, log) = (Arc::clone(&metrics), log.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = answer(&request, &metrics, &log);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "connection ended"; "error" => %error);
            }
        });
    }
}

fn answer(request: &Request<Incoming>, metrics: &Metrics, log: &Logger) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        return status_only(StatusCode::NOT_FOUND);
    }
    match metrics.scrape() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            warn!(log, "metrics not written"; "error" => %error);
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
