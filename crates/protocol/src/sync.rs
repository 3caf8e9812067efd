use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};
use session::{AssignmentsUpdate, Heartbeat, RosterUpdate, Shard};

/// Renews a subscription and reports the state that the subscriber has.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct SyncRequest {
    /// Log index of the last assignment change that the subscriber has.
    pub assignments_index: LogIndex,
    /// Heartbeat of the subscriber, then those of its own subscribers.
    pub heartbeats: Vec<Heartbeat>,
    /// Epoch of the roster that the subscriber has.
    pub roster_epoch: u64,
    /// Version of the roster within that epoch.
    pub roster_version: u64,
    /// Revision of the table that the subscriber has.
    pub table_revision: LogIndex,
    /// Longest time to keep the request open without a change.
    pub wait_ms: u64,
    /// Shards of announced endpoints that have no owner yet.
    pub unowned_shards: Vec<Shard>,
}

/// Answer of a publisher to a [`SyncRequest`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum SyncAnswer {
    /// The called instance has no live lease to pass on.
    NotPublisher {
        /// Leader of the voters, as far as the called instance knows.
        leader: Option<InstanceName>,
    },
    /// Another process with the subscriber's instance name is live.
    Superseded,
    /// Changes, and a renewed lease.
    Update(SyncUpdate),
}

/// Changes since the subscriber's reported state, and a renewed lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct SyncUpdate {
    /// Changed assignments.
    pub assignments: Option<AssignmentsUpdate>,
    /// Greatest table revision known to be in force on all instances.
    pub in_force_revision: LogIndex,
    /// Leader of the voters.
    pub leader: InstanceName,
    /// Duration of the lease, counted from the time at which the request was sent.
    pub lease_ms: u64,
    /// Changes of the roster.
    pub roster: Option<RosterUpdate>,
    /// Changed rows and keys of the table.
    pub table: Option<table::Publication>,
}
