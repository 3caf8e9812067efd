//! Connections to other instances, opened on first use and again after a failure.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::client;
use tarpc::context::Context;
use tarpc::serde_transport::new;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Error;
use crate::rpc::RegistryRpcClient;

/// Time allowed for connecting: six round trips between regions. A machine without power does not
/// answer, and a lost opening packet is repeated by the next attempt sooner than by the system.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Largest message; the largest document and a whole directory fit.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Connection to one instance.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    client: Mutex<Option<RegistryRpcClient>>,
}

impl Link {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Mutex::new(None),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) async fn client(&self) -> Result<RegistryRpcClient, Error> {
        if let Some(client) = self.connected() {
            return Ok(client);
        }
        let client = connect(self.address).await?;
        *self.lock() = Some(client.clone());
        Ok(client)
    }

    /// Drops the connection after a call on it failed.
    pub(crate) fn failed(&self) {
        *self.lock() = None;
    }

    /// Error for a call that failed, which also drops the connection.
    pub(crate) fn error(&self, error: &client::RpcError) -> Error {
        self.failed();
        Error::Connect {
            address: self.address,
            reason: error.to_string(),
        }
    }

    /// The connection, if there is one.
    pub(crate) fn connected(&self) -> Option<RegistryRpcClient> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<RegistryRpcClient>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Context of a call that is given up after `timeout_ms`.
pub(crate) fn within(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}

pub(crate) fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_BYTES_MAX);
    builder
}

async fn connect(address: SocketAddr) -> Result<RegistryRpcClient, Error> {
    let failed = |reason: String| Error::Connect { address, reason };
    let time = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(time, TcpStream::connect(address))
        .await
        .map_err(|_| failed(format!("no answer within {CONNECT_TIMEOUT_MS} ms")))?
        .map_err(|source| failed(source.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|source| failed(source.to_string()))?;
    let transport = new(codec().new_framed(stream), Bincode::default());
    Ok(RegistryRpcClient::new(client::Config::default(), transport).spawn())
}
