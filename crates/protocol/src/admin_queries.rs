use names::{EndpointName, LogIndex};
use serde::{Deserialize, Serialize};
use session::{Announcement, Shard};
use table::HistoryEntry;

/// State of an endpoint, as known to the owner of its shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct EndpointReport {
    /// Age of its last announcement.
    pub age_ms: u64,
    /// Its last announcement, without the cache update.
    pub announcement: Announcement,
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Shard of the endpoint.
    pub shard: Shard,
}

/// Requests accepted edits.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct HistoryRequest {
    /// Only edits before this revision.
    pub before: LogIndex,
    /// Limit on the edits in the answer.
    pub limit: u32,
}

/// Accepted edits, newest first.
pub type History = Vec<HistoryEntry>;
