use names::{CustomerName, EndpointName, Epoch, InstanceName, KindName, PermitId};
use serde::{Deserialize, Serialize};
use session::Shard;

/// Reports the progress of an instance's permits to the owner of a shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ProgressReport {
    /// Permits that the owner did not know and requested.
    pub requested: Vec<RunningPermit>,
    /// Permits that ended since the last report.
    pub ended: Vec<EndedPermit>,
    /// Ownership epoch known to the reporting instance.
    pub epoch: Epoch,
    /// The reporting instance.
    pub instance: InstanceName,
    /// All running permits; `None` in a report of ended permits only.
    pub running: Option<Vec<PermitProgress>>,
    /// The shard.
    pub shard: Shard,
}

/// A permit that ended.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct EndedPermit {
    /// How it ended.
    pub end: dispatch::PermitEnd,
    /// Tokens generated in total.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
}

/// Progress of a running permit.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct PermitProgress {
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
}

/// A running permit, with the details that a new owner of the shard needs.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct RunningPermit {
    /// Customer charged for the request.
    pub customer: CustomerName,
    /// Endpoint that runs the request.
    pub endpoint: EndpointName,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Kind of the request.
    pub kind: KindName,
    /// Limit on generated tokens.
    pub max_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
    /// Length of the prompt.
    pub prompt_tokens: u32,
}

/// Answer of the shard's owner to a [`ProgressReport`].
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgressAnswer {
    /// The called instance does not own the shard in that epoch.
    NotOwner,
    /// The report was applied.
    Accepted {
        /// Permits that the owner revokes.
        revoked: Vec<PermitKey>,
        /// Permits that the owner does not know and requests.
        unknown: Vec<PermitKey>,
    },
}

/// Identifies a permit across successive owners of a shard.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitKey {
    /// Ownership epoch in which the permit was granted.
    pub epoch: Epoch,
    /// Number within that epoch.
    pub permit: PermitId,
}
