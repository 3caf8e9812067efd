use names::InstanceName;

use crate::{GroupId, Member};

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum total size of the entries of one `AppendEntries`.
    pub append_bytes_max: usize,
    /// Minimum election timeout; each timeout is drawn at random, up to twice as long.
    pub election_timeout_ms: u64,
    /// Group of the replica.
    pub group: GroupId,
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval_ms: u64,
    /// Maximum unacknowledged bytes per follower.
    pub in_flight_bytes_max: usize,
    /// Instances that bootstrap the group; a blank replica sends its `Hello` to them.
    pub initial_voters: Vec<InstanceName>,
    /// Instance and storage identity of this replica.
    pub member: Member,
    /// Entries before a snapshot that are kept in memory for followers that lag.
    pub retained_entries: u64,
    /// Maximum size of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
}

impl Settings {
    /// Creates settings with default times and sizes.
    #[must_use]
    pub fn new(group: GroupId, member: Member, initial_voters: Vec<InstanceName>) -> Self {
        Self {
            append_bytes_max: 256 * 1024,
            election_timeout_ms: 1_000,
            group,
            heartbeat_interval_ms: 100,
            in_flight_bytes_max: 1024 * 1024,
            initial_voters,
            member,
            retained_entries: 4_096,
            snapshot_chunk_bytes: 256 * 1024,
        }
    }
}
