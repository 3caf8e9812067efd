use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::http::Error;
use crate::http::fault::{Fault, FaultOrder, FaultSwitch};
use crate::http::reply::{self, Reply};

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the fake closes the connection without an answer")]
pub(crate) struct Dropped;

/// Answers the calls of one fake.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Dropped>> + Send;
}

/// Binds the address, port 0 for a free port.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })?;
    let address = listener
        .local_addr()
        .map_err(|source| Error::Bind { address, source })?;
    Ok((listener, address))
}

/// Accepts connections until `stop`, which also closes all of them.
pub(crate) async fn run<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    faults: FaultSwitch,
    stop: CancellationToken,
) {
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve(stream, Arc::clone(&handler), faults.clone(), stop.clone());
        let stop = stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(connection).await });
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    faults: FaultSwitch,
    stop: CancellationToken,
) {
    // A socket that cannot be set without delay still works.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let faults = faults.clone();
        let stop = stop.clone();
        async move {
            if request.uri().path() == "/fault" {
                return Ok(set_fault(request, &faults, &stop).await);
            }
            let ledger = request.uri().path() == "/ledger";
            if !ledger && faults.take(|fault| fault == Fault::Stall).is_some() {
                std::future::pending::<()>().await;
            }
            handler.handle(request).await
        }
    });
    // Callers see a broken connection by themselves.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn set_fault(
    request: Request<Incoming>,
    faults: &FaultSwitch,
    stop: &CancellationToken,
) -> Reply {
    let Some(order) = reply::read_json::<FaultOrder>(request).await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    faults.set(order);
    if order.fault == Some(Fault::Die) {
        stop.cancel();
    }
    reply::empty(StatusCode::NO_CONTENT)
}
