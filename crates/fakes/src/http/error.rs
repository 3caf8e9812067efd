use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a server did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}
