use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why the interface or a call of it failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address} for operators: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The call did not reach the instance, or its answer was lost.
    #[error("no answer from {address}: {reason}")]
    Call {
        /// The instance's address.
        address: String,
        /// What happened.
        reason: String,
    },
    /// The answer is too long.
    #[error("answer of {address} is longer than {max_bytes} bytes")]
    Length {
        /// The instance's address.
        address: String,
        /// Longest answer that is taken.
        max_bytes: usize,
    },
    /// The call cannot be written as HTTP.
    #[error("call cannot be sent: {reason}")]
    Request {
        /// What is wrong with it.
        reason: String,
    },
}
