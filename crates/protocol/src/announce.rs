use names::{EndpointName, Epoch};
use serde::{Deserialize, Serialize};
use session::{Announcement, Shard};

/// Forwards an endpoint's announcement to the owner of its shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AnnounceRequest {
    /// The announcement.
    pub announcement: Announcement,
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Ownership epoch known to the forwarding instance.
    pub epoch: Epoch,
    /// Shard of the endpoint.
    pub shard: Shard,
}

/// Answer of the shard's owner to an [`AnnounceRequest`].
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub enum AnnounceAnswer {
    /// The owner renewed the endpoint's lease.
    Leased {
        /// Duration of the lease.
        lease_ms: u64,
    },
    /// The called instance does not own the shard in that epoch.
    NotOwner,
    /// The owner already has a newer announcement.
    Outdated,
}
