use std::io;
use std::net::SocketAddr;

use names::InstanceName;
use thiserror::Error;

/// Why an instance cannot start or reach another.
#[derive(Debug, Error)]
pub enum Error {
    /// The interface for operators cannot start.
    #[error("cannot serve operators: {0}")]
    Admin(#[from] admin::Error),
    /// The replicated state cannot be opened.
    #[error("cannot open the replicated state: {0}")]
    Control(#[from] control::Error),
    /// The interface for callers cannot start.
    #[error("cannot serve callers: {0}")]
    Entry(#[from] entry::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A connection between instances failed.
    #[error(transparent)]
    Protocol(#[from] protocol::Error),
    /// Metrics cannot start.
    #[error(transparent)]
    Telemetry(#[from] telemetry::Error),
    /// No address is known of an instance.
    #[error("no address is known of instance `{instance}`")]
    UnknownInstance {
        /// The instance.
        instance: InstanceName,
    },
}
