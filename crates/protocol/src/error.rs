use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a connection between instances could not be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The peer does not know the deployment's key.
    #[error("instance at {address} does not know this deployment's key")]
    Authentication {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No connection could be made.
    #[error("cannot connect to instance at {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The local address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The peer did not answer in time.
    #[error("instance at {address} did not answer within {timeout_ms} ms")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// The timeout.
        timeout_ms: u64,
    },
}
