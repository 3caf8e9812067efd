use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why the admin server cannot start or a client request failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The server cannot listen on the address.
    #[error("cannot listen on {address} for operators: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The request cannot be built.
    #[error("call cannot be sent: {reason}")]
    InvalidRequest {
        /// Text of the underlying error.
        reason: String,
    },
    /// The request did not reach the instance, or the response was lost.
    #[error("no answer from {address}: {reason}")]
    NoResponse {
        /// The instance's address.
        address: String,
        /// Text of the underlying error.
        reason: String,
    },
    /// The response body is too long.
    #[error("answer of {address} is longer than {max_bytes} bytes")]
    ResponseTooLong {
        /// The instance's address.
        address: String,
        /// Longest accepted body.
        max_bytes: usize,
    },
}
