use names::{CustomerName, EndpointName, Epoch, InstanceName, KindName, PermitId};
use serde::{Deserialize, Serialize};
use session::Shard;

/// News of an instance's permits of one shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ProgressReport {
    /// Permits that the owner did not know and asked about.
    pub requested: Vec<RunningPermit>,
    /// Permits that ended since the last report.
    pub ended: Vec<EndedPermit>,
    /// Ownership that the reporting instance knows of.
    pub epoch: Epoch,
    /// The reporting instance.
    pub instance: InstanceName,
    /// All permits that run; none in a report of ends alone.
    pub running: Option<Vec<PermitProgress>>,
    /// The shard.
    pub shard: Shard,
}

/// A permit that ended.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct EndedPermit {
    /// How it ended.
    pub end: dispatch::PermitEnd,
    /// Tokens generated in all.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
}

/// A permit that runs.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct PermitProgress {
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
}

/// A permit that runs, with what a new owner must know of it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct RunningPermit {
    /// Who pays for it.
    pub customer: CustomerName,
    /// Where it runs.
    pub endpoint: EndpointName,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Kind of work.
    pub kind: KindName,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// The permit.
    pub permit: PermitKey,
    /// Length of the prompt.
    pub prompt_tokens: u32,
}

/// What the owner did with a report.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgressAnswer {
    /// The asked instance does not own the shard under that epoch.
    NotOwner,
    /// The report counts.
    Accepted {
        /// Permits that the owner takes back.
        revoked: Vec<PermitKey>,
        /// Permits that the owner does not know and asks about.
        unknown: Vec<PermitKey>,
    },
}

/// Names a permit across owners of a shard.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitKey {
    /// Ownership under which the permit was granted.
    pub epoch: Epoch,
    /// Number within that ownership.
    pub permit: PermitId,
}
