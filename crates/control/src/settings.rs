use std::path::{Path, PathBuf};

use agreement::GroupId;
use names::InstanceName;
use slog::Logger;

/// What the host of a group is configured with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Longest command.
    pub command_bytes_max: usize,
    /// Entries applied since the last snapshot after which a new one is made.
    pub compact_after_entries: u64,
    /// Time after which a snapshot is made of however few entries applied since the last one; a
    /// group that never made one would keep every file of the journal that it shares.
    pub compact_after_ms: u64,
    /// Shortest time without a leader before an election; drawn up to twice as long.
    pub election_timeout_ms: u64,
    /// Data folder.
    pub folder: PathBuf,
    /// Group that is replicated.
    pub group: GroupId,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval_ms: u64,
    /// Instances that found the group together.
    pub initial_voters: Vec<InstanceName>,
    /// This instance.
    pub instance: InstanceName,
    /// Where events are logged.
    pub log: Logger,
    /// Proposals that may wait at once.
    pub proposals_waiting_max: usize,
    /// Whether the leader lets a voter with a new, blank data folder join again by itself.
    pub rejoin_blank_voters: bool,
    /// Time between two looks at the clock.
    pub tick_interval_ms: u64,
}

impl Settings {
    /// Settings with the default times and sizes.
    #[must_use]
    pub fn new(
        folder: &Path,
        instance: InstanceName,
        initial_voters: Vec<InstanceName>,
        log: Logger,
    ) -> Self {
        Self {
            command_bytes_max: 1024 * 1024,
            compact_after_entries: 10_000,
            compact_after_ms: 600_000,
            election_timeout_ms: 1_000,
            folder: folder.to_owned(),
            group: GroupId(1),
            heartbeat_interval_ms: 100,
            initial_voters,
            instance,
            log,
            proposals_waiting_max: 10_000,
            rejoin_blank_voters: true,
            tick_interval_ms: 25,
        }
    }
}
