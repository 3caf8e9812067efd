use names::{EndpointName, Epoch};
use serde::{Deserialize, Serialize};
use session::{Announcement, Shard};

/// An endpoint's announcement on its way to the owner of its shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AnnounceRequest {
    /// The announcement.
    pub announcement: Announcement,
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Ownership that the forwarding instance knows of.
    pub epoch: Epoch,
    /// Shard of the endpoint.
    pub shard: Shard,
}

/// What the owner did with an announcement.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub enum AnnounceAnswer {
    /// The endpoint is under lease.
    Leased {
        /// Length of the lease.
        lease_ms: u64,
    },
    /// The asked instance does not own the shard under that epoch.
    NotOwner,
    /// A newer announcement has been taken.
    Outdated,
}
