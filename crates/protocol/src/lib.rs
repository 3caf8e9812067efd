//! Messages between the instances of a deployment, and the connections that carry them.
//!
//! One `tarpc` service holds every call. A connection begins with a mutual proof that both sides
//! know the deployment's key; the calls after it are neither encrypted nor numbered, so the links
//! between instances are expected to be private.

mod acquire;
mod announce;
mod connection;
mod counted;
mod error;
mod handshake;
mod inner;
mod overview;
mod progress;
mod propose;
mod sync;

pub use acquire::{AcquireAnswer, AcquireRequest};
pub use announce::{AnnounceAnswer, AnnounceRequest};
pub use connection::{Listener, Pending, ServerTransport, connect};
pub use counted::{Counted, Traffic};
pub use error::Error;
pub use handshake::FleetKey;
pub use inner::{Inner, InnerClient};
pub use overview::{EndpointReport, History, HistoryRequest};
pub use progress::{
    EndedPermit, PermitKey, PermitProgress, ProgressAnswer, ProgressReport, RunningPermit,
};
pub use propose::{ProposeError, Proposed};
pub use sync::{SyncAnswer, SyncRequest, SyncUpdate};
