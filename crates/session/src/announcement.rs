use std::net::SocketAddr;

use names::{DataCentreName, Incarnation, ModelName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::OfferName;

/// What an endpoint says of itself, again and again.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Where it listens.
    pub address: SocketAddr,
    /// News of its prefix cache.
    #[serde(default)]
    pub cache: Option<CacheUpdate>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Grows with each start of the endpoint.
    pub incarnation: Incarnation,
    /// What it serves.
    pub offer: Offer,
    /// Time until the platform takes the endpoint away.
    #[serde(default)]
    pub reclaim_in_ms: Option<u64>,
    /// Its region.
    pub region: RegionName,
    /// Its load.
    #[serde(default)]
    pub report: Option<LoadReport>,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it takes new work.
    pub state: EndpointState,
}

impl Announcement {
    /// Whether the endpoint takes new work; one that is being reclaimed does not.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state == EndpointState::Ready && self.reclaim_in_ms.is_none()
    }
}

/// News of a prefix cache.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// Hexadecimal hashes of blocks that entered.
    pub added: Vec<String>,
    /// Hexadecimal hashes of blocks that left.
    pub evicted: Vec<String>,
    /// Sequence of the first event in the news; a gap means lost news.
    pub first_sequence: u64,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Takes no new work.
    Leaving,
    /// Takes new work.
    Ready,
}

/// What a model engine offers.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct EngineOffer {
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Memory for keys and values, in tokens.
    pub memory_tokens: u64,
    /// The model.
    pub model: ModelName,
    /// Which part of the work it does.
    pub role: EngineRole,
    /// Most sequences it decodes at once.
    pub sequences_max: u32,
    /// Version of the model.
    pub version: String,
}

/// Which part of a generation an engine computes.
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
    /// How long ago the report was true.
    pub age_ms: u64,
    /// Memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Requests running.
    pub running: u32,
    /// Mean time between tokens.
    pub token_interval_us: u64,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
}

/// What an endpoint serves.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Offer {
    /// A model.
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

/// What a plain service offers.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct ServiceOffer {
    /// Most calls at once.
    pub calls_max: u32,
    /// The service.
    pub name: ServiceName,
}
