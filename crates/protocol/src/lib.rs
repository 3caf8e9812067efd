//! RPC messages between the instances of a deployment, and the connections that carry them.
//!
//! One `tarpc` service defines all calls. A connection begins with a mutual proof that both sides
//! know the deployment's key. The calls after it are neither encrypted nor numbered, so the network
//! between instances must be private.

mod acquire;
mod admin_queries;
mod announce;
mod connection;
mod counted_stream;
mod error;
mod handshake;
mod inner;
mod progress;
mod propose;
mod sync;

pub use acquire::{AcquireAnswer, AcquireRequest};
pub use admin_queries::{EndpointReport, History, HistoryRequest};
pub use announce::{AnnounceAnswer, AnnounceRequest};
pub use connection::{Listener, PendingConnection, ServerTransport, connect};
pub use counted_stream::{CountedStream, Traffic};
pub use error::Error;
pub use handshake::FleetKey;
pub use inner::{Inner, InnerClient};
pub use progress::{
    EndedPermit, PermitKey, PermitProgress, ProgressAnswer, ProgressReport, RunningPermit,
};
pub use propose::{CommittedCommand, ProposeError};
pub use sync::{SyncAnswer, SyncRequest, SyncUpdate};
