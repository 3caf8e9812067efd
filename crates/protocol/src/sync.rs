use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};
use session::{AssignmentsUpdate, Heartbeat, RosterUpdate, Shard};

/// Renews a subscription and says what the subscriber holds.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct SyncRequest {
    /// Position of the last assignment change that the subscriber holds.
    pub assignments_index: LogIndex,
    /// The subscriber first, then the instances that subscribe to it.
    pub heartbeats: Vec<Heartbeat>,
    /// Whose roster the subscriber holds.
    pub roster_epoch: u64,
    /// Version of that roster.
    pub roster_version: u64,
    /// Revision of the table that the subscriber holds.
    pub table_revision: LogIndex,
    /// Longest time to keep the request open without news.
    pub wait_ms: u64,
    /// Shards that endpoints announced and that have no owner yet.
    pub unowned_shards: Vec<Shard>,
}

/// A publisher's answer.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum SyncAnswer {
    /// The asked instance has no live lease to pass on.
    NotPublisher {
        /// Who leads the voters, as far as the asked instance knows.
        leader: Option<InstanceName>,
    },
    /// Another run of the subscriber's name is live.
    Superseded,
    /// News, and a new lease.
    Update(SyncUpdate),
}

/// News for a subscriber.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct SyncUpdate {
    /// Changed assignments.
    pub assignments: Option<AssignmentsUpdate>,
    /// Greatest table revision known to be in force everywhere.
    pub in_force_revision: LogIndex,
    /// Who leads the voters.
    pub leader: InstanceName,
    /// Length of the lease, counted from when the request was sent.
    pub lease_ms: u64,
    /// Changed instances.
    pub roster: Option<RosterUpdate>,
    /// Changed rows and keys.
    pub table: Option<table::Publication>,
}
