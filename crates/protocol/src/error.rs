use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a connection between instances cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The other side does not know the deployment's key.
    #[error("instance at {address} does not hold this deployment's key")]
    Authentication {
        /// The other side.
        address: SocketAddr,
    },
    /// No connection could be made.
    #[error("cannot connect to instance at {address}: {source}")]
    Connect {
        /// The other side.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The own address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The opening exchange took too long.
    #[error("instance at {address} did not answer within {timeout_ms} ms")]
    Timeout {
        /// The other side.
        address: SocketAddr,
        /// Time allowed.
        timeout_ms: u64,
    },
}
