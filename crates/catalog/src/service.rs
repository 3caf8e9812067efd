use serde::{Deserialize, Serialize};

/// Group of endpoints that requests are routed to by name.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Connections that one endpoint accepts, over all instances together.
    pub connections_max: u32,
    /// Engine behind each endpoint, if the service generates tokens.
    pub engine: Option<EngineSpec>,
    /// Name of the service.
    pub name: String,
}

/// Capacity of an inference engine, the same for all endpoints of a service.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// KV cache memory of one token.
    pub kv_token_bytes: u64,
    /// Bandwidth for KV cache copies, in megabits per second.
    pub link_mbps: f64,
    /// Tokens that fit in its KV cache memory.
    pub memory_tokens: u64,
    /// Sequences that run at once.
    pub slots: u32,
    /// Whether a running generation can be migrated to another endpoint.
    pub supports_migration: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

impl EngineSpec {
    /// Tokens per second whose KV cache its link can copy.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a rough estimate suffices"
    )]
    pub fn copy_tokens_per_s(&self) -> u64 {
        let bits = self.kv_token_bytes.max(1) * 8;
        (self.link_mbps.max(0.0) * 1e6 / bits as f64) as u64
    }
}
