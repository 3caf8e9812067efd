use std::net::SocketAddr;
use std::sync::Arc;

use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::handler::Handler;
use crate::server::Server;
use crate::{Backend, Error, MetricsSource};

/// The running interface; dropping it stops it at once.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Listens on `address` and serves the interface.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on.
    pub async fn bind(
        address: SocketAddr,
        backend: Arc<dyn Backend>,
        metrics: Arc<dyn MetricsSource>,
        log: &Logger,
    ) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (stop, stop_receiver) = watch::channel(false);
        let server = Server {
            handler: Arc::new(Handler::new(backend, metrics, log.clone())),
            listener,
            log: log.clone(),
            stop: stop_receiver,
        };
        let task = tokio::spawn(server.run());
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connections, and returns when every open request is answered.
    pub async fn shutdown(mut self) {
        self.stop.send_replace(true);
        // The task ends by itself; a panic in it was reported by the runtime.
        let _ = (&mut self.task).await;
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
