use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why an entry cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen for clients on {address}: {source}")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}
