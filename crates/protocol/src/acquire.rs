use std::net::SocketAddr;

use dispatch::RefusalReason;
use names::{CustomerName, EndpointName, Epoch, InstanceName, KindName, PermitId, RegionName};
use serde::{Deserialize, Serialize};
use session::Shard;

/// Requests a permit from the owner of a shard.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AcquireRequest {
    /// Customer charged for the request.
    pub customer: CustomerName,
    /// Ownership epoch known to the requesting instance.
    pub epoch: Epoch,
    /// The requesting instance.
    pub instance: InstanceName,
    /// Kind of the request.
    pub kind: KindName,
    /// Limit on generated tokens; zero for a plain service.
    pub max_tokens: u32,
    /// Hashes of the prompt's full blocks.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Region of the requesting instance.
    pub region: RegionName,
    /// Shard that is to grant the permit.
    pub shard: Shard,
    /// Whether the request precedes others within its row's share.
    pub urgent: bool,
    /// Longest time that the request may wait for the permit.
    pub wait_ms: u64,
}

/// Answer of the shard's owner to an [`AcquireRequest`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum AcquireAnswer {
    /// The request may run.
    Granted {
        /// Address of the endpoint.
        address: SocketAddr,
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// The permit.
        permit: PermitId,
        /// Priority passed to the engine; a greater value runs first.
        priority: i32,
        /// Region of the endpoint.
        region: RegionName,
    },
    /// The called instance does not own the shard in that epoch, or may not grant permits yet.
    NotOwner,
    /// The permit is denied.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
}
