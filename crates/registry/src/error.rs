use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a call of the registry failed.
#[derive(Debug, Error)]
pub enum Error {
    /// An instance cannot be reached.
    #[error("cannot reach the instance at {address}: {reason}")]
    Connect {
        /// Its address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The replicated state cannot be opened.
    #[error(transparent)]
    Open(#[from] control::Error),
    /// No quorum was reached in time; a repeat may succeed.
    #[error("no quorum of voters was reached within {timeout_ms} ms")]
    Unavailable {
        /// The time.
        timeout_ms: u64,
    },
}
