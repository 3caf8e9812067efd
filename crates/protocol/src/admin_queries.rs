use names::{EndpointName, LogIndex};
use serde::{Deserialize, Serialize};
use session::{Announcement, Shard};
use table::HistoryEntry;

/// An endpoint as its owner knows it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct EndpointReport {
    /// Age of its last announcement.
    pub age_ms: u64,
    /// That announcement, without news of its cache.
    pub announcement: Announcement,
    /// Its name.
    pub endpoint: EndpointName,
    /// Shard that it belongs to.
    pub shard: Shard,
}

/// Asks for accepted edits.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct HistoryRequest {
    /// Only edits before this revision.
    pub before: LogIndex,
    /// Most edits in the answer.
    pub limit: u32,
}

/// Accepted edits, newest first.
pub type History = Vec<HistoryEntry>;
