use names::InstanceName;

use crate::{GroupId, Member};

/// What a replica is configured with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Largest sum of entry sizes in one append.
    pub append_bytes_max: usize,
    /// Shortest time without a leader before an election; drawn up to twice as long.
    pub election_timeout_ms: u64,
    /// Group that the replica belongs to.
    pub group: GroupId,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval_ms: u64,
    /// Unacknowledged bytes a follower.
    pub in_flight_bytes_max: usize,
    /// Instances that found the group together, and that a blank replica introduces itself to.
    pub initial_voters: Vec<InstanceName>,
    /// This replica.
    pub member: Member,
    /// Entries kept in memory behind a snapshot, for followers that lag.
    pub retained_entries: u64,
    /// Size of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
}

impl Settings {
    /// Settings with the default times and sizes.
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
