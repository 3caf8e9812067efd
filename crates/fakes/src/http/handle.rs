use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::http::announcer;
use crate::http::reply::{self, Reply};
use crate::http::{AnnouncementSettings, Fault, FaultInjector, FaultRequest};

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the fake closes the connection without an answer")]
pub(crate) struct Dropped;

/// Answers the calls of one fake and describes it.
pub(crate) trait Handler: Send + Sync + 'static {
    /// News of the prefix cache.
    fn cache(&self) -> Value;

    /// Answers one call.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Dropped>> + Send;

    /// What it offers.
    fn offer(&self) -> Value;

    /// Its load.
    fn report(&self) -> Value;
}

/// Controls a running fake.
#[derive(Debug, Clone)]
pub struct ServerHandle {
    address: SocketAddr,
    faults: FaultInjector,
    stop: CancellationToken,
}

impl ServerHandle {
    /// Listens, answers and announces until killed.
    pub(crate) async fn spawn<H: Handler>(
        address: SocketAddr,
        announcement: AnnouncementSettings,
        faults: FaultInjector,
        handler: Arc<H>,
    ) -> Result<Self, io::Error> {
        let listener = TcpListener::bind(address).await?;
        let handle = Self {
            address: listener.local_addr()?,
            faults,
            stop: CancellationToken::new(),
        };
        handle.run(announcer::run(
            announcement,
            handle.clone(),
            Arc::clone(&handler),
        ));
        handle.run(accept(listener, handle.clone(), handler));
        Ok(handle)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resolves when it was killed or told to die.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// The fault switch.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Ends all connections at once.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Announces from now on that it takes no new work.
    pub fn announce_leaving(&self) {
        let fault = Some(Fault::Leaving(None));
        self.faults.set(FaultRequest { fault, times: None });
    }

    /// Runs a task until the fake is killed.
    pub(crate) fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(task).await });
    }
}

async fn accept<H: Handler>(listener: TcpListener, handle: ServerHandle, handler: Arc<H>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            handle.run(serve(stream, handle.clone(), Arc::clone(&handler)));
        }
    }
}

async fn answer<H: Handler>(
    request: Request<Incoming>,
    handle: &ServerHandle,
    handler: &H,
) -> Result<Reply, Dropped> {
    let path = request.uri().path();
    if path == "/fault" {
        return Ok(set_fault(request, handle).await);
    }
    if path != "/ledger" && handle.faults.take(|fault| fault == Fault::Stall).is_some() {
        std::future::pending::<()>().await;
    }
    handler.handle(request).await
}

async fn serve<H: Handler>(stream: TcpStream, handle: ServerHandle, handler: Arc<H>) {
    // A socket that cannot be set without delay still works.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(request, &handle, handler.as_ref()));
    let mut server = http1::Builder::new();
    let connection = server
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // Callers see a broken connection by themselves.
    let _ = connection.await;
}

async fn set_fault(request: Request<Incoming>, handle: &ServerHandle) -> Reply {
    let Some(order) = reply::read_json::<FaultRequest>(request).await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    handle.faults.set(order);
    if order.fault == Some(Fault::Die) {
        handle.kill();
    }
    reply::empty(StatusCode::NO_CONTENT)
}
