use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Body of an announcement.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Announcement {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// News of the prefix cache.
    pub cache: Option<CacheReport>,
    /// Its data centre.
    pub data_centre: String,
    /// Grows with each start.
    pub incarnation: u64,
    /// What it offers.
    pub offer: Offer,
    /// Time until the platform takes the endpoint away.
    pub reclaim_in_ms: Option<u64>,
    /// Its region.
    pub region: String,
    /// Load, some time ago.
    pub report: Option<LoadReport>,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it takes new work.
    pub state: State,
}

/// Blocks that entered and left the prefix cache.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct CacheReport {
    /// Hexadecimal hashes of blocks that entered.
    pub added: Vec<String>,
    /// Hexadecimal hashes of blocks that left.
    pub evicted: Vec<String>,
    /// Number of the first change reported here; a gap means lost news.
    pub first_sequence: u64,
}

/// What an engine offers.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct EngineOffer {
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Tokens in a block of the prefix cache.
    pub block_tokens: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Memory for keys and values.
    pub memory_tokens: u64,
    /// Name of the model.
    pub model: String,
    /// `both`, `prefill` or `decode`.
    pub role: String,
    /// Most sequences running at once.
    pub sequences_max: u32,
    /// Version of the model.
    pub version: String,
}

/// Load of an engine or service.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// How long ago it was true.
    pub age_ms: u64,
    /// Memory in use.
    pub memory_used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Sequences or calls running.
    pub running: u32,
    /// Mean time between tokens.
    pub token_interval_us: u64,
    /// Sequences or calls waiting.
    pub waiting: u32,
}

/// What an endpoint offers.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// Generations.
    Engine(EngineOffer),
    /// Plain calls.
    Service(ServiceOffer),
}

/// What a plain service offers.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ServiceOffer {
    /// Most calls at once.
    pub calls_max: u32,
    /// Name of the service.
    pub name: String,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes no new work.
    Leaving,
    /// Takes new work.
    Ready,
}
