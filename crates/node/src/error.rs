use std::io;
use std::net::SocketAddr;

use names::InstanceName;
use thiserror::Error;

/// An instance cannot start, or cannot reach another instance.
#[derive(Debug, Error)]
pub enum Error {
    /// The admin interface cannot be started.
    #[error("cannot serve operators: {0}")]
    Admin(#[from] admin::Error),
    /// The replicated state cannot be opened.
    #[error("cannot open the replicated state: {0}")]
    Control(#[from] control::Error),
    /// The interface for clients cannot be started.
    #[error("cannot serve clients: {0}")]
    Entry(#[from] entry::Error),
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A connection between instances failed.
    #[error(transparent)]
    Protocol(#[from] protocol::Error),
    /// The metrics cannot be created.
    #[error(transparent)]
    Telemetry(#[from] telemetry::Error),
    /// No address of an instance is known.
    #[error("no address of instance `{instance}` is known")]
    UnknownInstance {
        /// Name of the instance.
        instance: InstanceName,
    },
}
