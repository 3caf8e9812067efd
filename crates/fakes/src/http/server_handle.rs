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
use crate::http::response::{self, HttpResponse};
use crate::http::{AnnouncementSettings, Fault, FaultInjector, FaultRequest};

/// Makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("injected fault: connection closed without a response")]
pub(crate) struct ConnectionDropped;

/// Request handler of a fake server, and the parts of its announcements.
pub(crate) trait FakeEndpoint: Send + Sync + 'static {
    /// Changes of the prefix cache since the last call, as announced; null if there are none.
    fn cache_update(&self) -> Value;

    fn handle_request(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<HttpResponse, ConnectionDropped>> + Send;

    /// Load report, as announced; null if there is none.
    fn load_report(&self) -> Value;

    /// What the endpoint serves, as announced.
    fn offer(&self) -> Value;
}

/// Controls a running fake server.
#[derive(Debug, Clone)]
pub struct ServerHandle {
    address: SocketAddr,
    faults: FaultInjector,
    stop: CancellationToken,
}

impl ServerHandle {
    /// Starts a server that listens, answers and announces itself until killed.
    pub(crate) async fn spawn<E: FakeEndpoint>(
        address: SocketAddr,
        announcement: AnnouncementSettings,
        faults: FaultInjector,
        endpoint: Arc<E>,
    ) -> Result<Self, io::Error> {
        let listener = TcpListener::bind(address).await?;
        let handle = Self {
            address: listener.local_addr()?,
            faults,
            stop: CancellationToken::new(),
        };
        let announcer =
            announcer::announce_periodically(announcement, handle.clone(), Arc::clone(&endpoint));
        handle.spawn_until_killed(announcer);
        handle.spawn_until_killed(accept_connections(listener, handle.clone(), endpoint));
        Ok(handle)
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces from now on that the endpoint takes no new work.
    pub fn announce_leaving(&self) {
        let fault = Some(Fault::Leaving(None));
        self.faults.set(FaultRequest { fault, times: None });
    }

    /// The fault that the server injects.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Stops the server and closes all its connections at once.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Waits until the server is killed, by [`Self::kill`] or [`Fault::Die`].
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// Runs a task until the server is killed.
    pub(crate) fn spawn_until_killed(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(task).await });
    }
}

async fn accept_connections<E: FakeEndpoint>(
    listener: TcpListener,
    handle: ServerHandle,
    endpoint: Arc<E>,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let connection = serve_connection(stream, handle.clone(), Arc::clone(&endpoint));
            handle.spawn_until_killed(connection);
        }
    }
}

async fn respond<E: FakeEndpoint>(
    request: Request<Incoming>,
    handle: &ServerHandle,
    endpoint: &E,
) -> Result<HttpResponse, ConnectionDropped> {
    let path = request.uri().path();
    if path == "/fault" {
        return Ok(set_fault(request, handle).await);
    }
    if path != "/ledger"
        && handle
            .faults
            .consume(|fault| fault == Fault::Stall)
            .is_some()
    {
        std::future::pending::<()>().await;
    }
    endpoint.handle_request(request).await
}

async fn serve_connection<E: FakeEndpoint>(
    stream: TcpStream,
    handle: ServerHandle,
    endpoint: Arc<E>,
) {
    // Without TCP_NODELAY the connection is only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, &handle, endpoint.as_ref()));
    let mut server = http1::Builder::new();
    let connection = server
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // Clients detect a broken connection themselves.
    let _ = connection.await;
}

async fn set_fault(request: Request<Incoming>, handle: &ServerHandle) -> HttpResponse {
    let Some(request) = response::read_json::<FaultRequest>(request).await else {
        return response::empty(StatusCode::BAD_REQUEST);
    };
    handle.faults.set(request);
    if request.fault == Some(Fault::Die) {
        handle.kill();
    }
    response::empty(StatusCode::NO_CONTENT)
}
