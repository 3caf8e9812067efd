use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Failure to open a registry, or of a call to one.
#[derive(Debug, Error)]
pub enum Error {
    /// An instance cannot be reached, or its answer cannot be decoded.
    #[error("cannot reach the instance at {address}: {reason}")]
    Connect {
        /// Address of the instance.
        address: SocketAddr,
        /// Text of the underlying error.
        reason: String,
    },
    /// The registry cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The replicated state cannot be opened.
    #[error(transparent)]
    Open(#[from] control::Error),
    /// No quorum, leader or registry was available in time; a retry may succeed.
    #[error("no quorum of voters was reached within {timeout_ms} ms")]
    Unavailable {
        /// Time after which the call was given up.
        timeout_ms: u64,
    },
}
