use std::net::SocketAddr;

use names::{DataCentreName, Incarnation, ModelName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::OfferName;

/// State that an endpoint announces periodically to renew its lease.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Changes of its prefix cache.
    #[serde(default)]
    pub cache: Option<CacheUpdate>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Number that grows with each process start of the endpoint.
    pub incarnation: Incarnation,
    /// The model or service it offers.
    pub offer: Offer,
    /// Time until the infrastructure reclaims the endpoint.
    #[serde(default)]
    pub reclaim_in_ms: Option<u64>,
    /// Its region.
    pub region: RegionName,
    /// Its load.
    #[serde(default)]
    pub report: Option<LoadReport>,
    /// Number that grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it accepts new work.
    pub state: EndpointState,
}

impl Announcement {
    /// Whether the endpoint accepts new work; a reclaimed endpoint does not.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state == EndpointState::Ready && self.reclaim_in_ms.is_none()
    }
}

/// Changes of a prefix cache.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// Hexadecimal hashes of added blocks.
    pub added: Vec<String>,
    /// Hexadecimal hashes of evicted blocks.
    pub evicted: Vec<String>,
    /// Sequence number of the first event in the update; a gap means lost events.
    pub first_sequence: u64,
}

/// Whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Accepts no new work.
    Leaving,
    /// Accepts new work.
    Ready,
}

/// Model and capacity of an engine.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct EngineOffer {
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Size of a prefix-cache block, in tokens.
    pub block_tokens: u32,
    /// Whether it refuses orders with outdated fencing numbers.
    pub checks_fencing: bool,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u64,
    /// The loaded model.
    pub model: ModelName,
    /// Which phases of a generation it computes.
    pub role: EngineRole,
    /// Limit on concurrently decoded sequences.
    pub sequences_max: u32,
    /// Version of the model.
    pub version: String,
}

/// Phases of a generation that an engine computes.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Decode only.
    Decode,
    /// Prefill only.
    Prefill,
}

/// Load of an endpoint.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Age of the report.
    pub age_ms: u64,
    /// KV cache in use, in tokens.
    pub memory_used_tokens: u64,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Number of running requests.
    pub running: u32,
    /// Mean time between two tokens of a sequence.
    pub token_interval_us: u64,
    /// Number of requests in the endpoint's own queue.
    pub waiting: u32,
}

/// Model or plain service that an endpoint offers.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Offer {
    /// An engine that serves a model.
    Engine(EngineOffer),
    /// A plain service.
    Service(ServiceOffer),
}

impl Offer {
    /// Name of the model or service.
    #[must_use]
    pub fn name(&self) -> OfferName {
        match self {
            Self::Engine(engine) => OfferName::Model(engine.model.clone()),
            Self::Service(service) => OfferName::Service(service.name.clone()),
        }
    }
}

/// Name and capacity of a plain service.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct ServiceOffer {
    /// Limit on concurrent calls.
    pub calls_max: u32,
    /// Name of the service.
    pub name: ServiceName,
}
