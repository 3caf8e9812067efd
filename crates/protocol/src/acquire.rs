use std::net::SocketAddr;

use dispatch::RefusalReason;
use names::{CustomerName, EndpointName, Epoch, InstanceName, KindName, PermitId, RegionName};
use serde::{Deserialize, Serialize};
use session::Shard;

/// Asks for engine time.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AcquireRequest {
    /// Who pays for it.
    pub customer: CustomerName,
    /// Ownership that the asking instance knows of.
    pub epoch: Epoch,
    /// The asking instance.
    pub instance: InstanceName,
    /// Kind of work.
    pub kind: KindName,
    /// Most tokens to generate; zero for a plain service.
    pub max_tokens: u32,
    /// Hashes of the prompt's whole blocks.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Region of the asking instance.
    pub region: RegionName,
    /// Shard that is asked.
    pub shard: Shard,
    /// Goes first inside its row's share.
    pub urgent: bool,
    /// Longest useful wait.
    pub wait_ms: u64,
}

/// What the owner decided.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub enum AcquireAnswer {
    /// The request may run.
    Granted {
        /// Where.
        address: SocketAddr,
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// The permit.
        permit: PermitId,
        /// Priority towards the engine; greater goes first.
        priority: i32,
        /// Region of the endpoint.
        region: RegionName,
    },
    /// The asked instance does not own the shard under that epoch, or may not grant yet.
    NotOwner,
    /// The request does not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
}
