use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why an entry cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// The caller address is not free or not ours.
    #[error("cannot listen for callers on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}
