use std::net::SocketAddr;
use std::sync::Arc;

use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::acceptor::ConnectionAcceptor;
use crate::handler::AdminHandler;
use crate::{Backend, Error, MetricsSource};

/// Running HTTP server of the admin interface; dropping it stops it immediately.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    shutdown: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Listens on `address` and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot listen on the address.
    pub async fn bind(
        address: SocketAddr,
        backend: Arc<dyn Backend>,
        metrics: Arc<dyn MetricsSource>,
        log: &Logger,
    ) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (shutdown, shutdown_receiver) = watch::channel(false);
        let acceptor = ConnectionAcceptor {
            handler: Arc::new(AdminHandler::new(backend, metrics, log.clone())),
            listener,
            log: log.clone(),
            shutdown: shutdown_receiver,
        };
        let task = tokio::spawn(acceptor.run());
        Ok(Self {
            address,
            shutdown,
            task,
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns when every open request is answered.
    pub async fn shutdown(mut self) {
        self.shutdown.send_replace(true);
        // An error means that the task panicked; the runtime has already reported that.
        let _ = (&mut self.task).await;
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
