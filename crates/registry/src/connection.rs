//! Connections to other instances, opened on first use and reopened after a failure.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
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

/// Time limit for connecting: six round trips between regions. A machine without power does not
/// answer, and after a lost SYN the next attempt comes sooner than the system's retransmission.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Largest message; the largest document and a whole directory fit.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Connection to one instance, opened on demand.
#[derive(Debug)]
pub(crate) struct RpcConnection {
    address: SocketAddr,
    client: Mutex<Option<RegistryRpcClient>>,
}

impl RpcConnection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Mutex::new(None),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Client of the open connection, or else of a new one.
    pub(crate) async fn connect(&self) -> Result<RegistryRpcClient, Error> {
        if let Some(client) = self.connected_client() {
            return Ok(client);
        }
        let client = connect(self.address).await?;
        *self.lock() = Some(client.clone());
        Ok(client)
    }

    /// Drops the connection; the next call opens a new one.
    pub(crate) fn disconnect(&self) {
        *self.lock() = None;
    }

    /// Drops the connection after a failed call, and returns the error of that call.
    pub(crate) fn disconnect_after(&self, error: &client::RpcError) -> Error {
        self.disconnect();
        Error::Connect {
            address: self.address,
            reason: error.to_string(),
        }
    }

    /// Client of the open connection, if there is one.
    pub(crate) fn connected_client(&self) -> Option<RegistryRpcClient> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<RegistryRpcClient>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Context of a call that fails after `timeout_ms`.
pub(crate) fn call_context(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}

pub(crate) fn frame_codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_BYTES_MAX);
    builder
}

async fn connect(address: SocketAddr) -> Result<RegistryRpcClient, Error> {
    let connect_error = |reason: String| Error::Connect { address, reason };
    let time = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(time, TcpStream::connect(address))
        .await
        .map_err(|_| connect_error(format!("no answer within {CONNECT_TIMEOUT_MS} ms")))?
        .map_err(|source| connect_error(source.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|source| connect_error(source.to_string()))?;
    let transport = new(frame_codec().new_framed(stream), Bincode::default());
    Ok(RegistryRpcClient::new(client::Config::default(), transport).spawn())
}
