use std::path::{Path, PathBuf};

use agreement::GroupId;
use names::InstanceName;
use slog::Logger;

/// Settings of a replicated group on this instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum length of a command.
    pub command_bytes_max: usize,
    /// A snapshot is taken once commands of this length were applied since the last one.
    pub compact_after_bytes: u64,
    /// A snapshot is taken once this many entries were applied since the last one.
    pub compact_after_entries: u64,
    /// A snapshot is taken after this time if any entry was applied since the last one. Without it,
    /// a group with few entries would keep every file of a shared journal.
    pub compact_after_ms: u64,
    /// Minimum election timeout; each timeout is drawn at random, up to twice as long.
    pub election_timeout_ms: u64,
    /// Data folder, which holds the journal.
    pub folder: PathBuf,
    /// Number of the group.
    pub group: GroupId,
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval_ms: u64,
    /// Instances that bootstrap the group; equal on all of them.
    pub initial_voters: Vec<InstanceName>,
    /// Name of this instance.
    pub instance: InstanceName,
    /// Logger for events of the group.
    pub log: Logger,
    /// Maximum number of proposals that are not committed and applied yet.
    pub pending_proposals_max: usize,
    /// Whether the leader adds a voter with a new, blank data folder again without a request.
    pub rejoin_blank_voters: bool,
    /// Interval between two ticks of the replica.
    pub tick_interval_ms: u64,
}

impl Settings {
    /// Creates settings with default times and sizes, for group 1.
    #[must_use]
    pub fn new(
        folder: &Path,
        instance: InstanceName,
        initial_voters: Vec<InstanceName>,
        log: Logger,
    ) -> Self {
        Self {
            command_bytes_max: 1024 * 1024,
            compact_after_bytes: u64::MAX,
            compact_after_entries: 10_000,
            compact_after_ms: 600_000,
            election_timeout_ms: 1_000,
            folder: folder.to_owned(),
            group: GroupId(1),
            heartbeat_interval_ms: 100,
            initial_voters,
            instance,
            log,
            pending_proposals_max: 10_000,
            rejoin_blank_voters: true,
            tick_interval_ms: 25,
        }
    }
}
