/// A service behind the routes.
#[derive(Debug, Clone)]
pub struct Service {
    /// Connections that one endpoint takes from all callers together.
    pub connections_max: u32,
    /// Its engines, if it generates.
    pub engine: Option<Engine>,
    /// Name.
    pub name: String,
}

/// Sizes of one engine, equal for all endpoints of a service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Whether a running request can be moved.
    pub has_moves: bool,
    /// Memory for this many tokens.
    pub memory_tokens: u64,
    /// Speed of an engine's link for copies.
    pub link_mbps: f64,
    /// Requests that run at once.
    pub slots: u32,
    /// Memory of one token.
    pub token_bytes: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

impl Engine {
    /// Tokens whose memory its link copies in a second.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an estimate to some percent"
    )]
    pub fn copy_tokens_per_s(&self) -> u64 {
        let bits = self.token_bytes.max(1) * 8;
        (self.link_mbps.max(0.0) * 1e6 / bits as f64) as u64
    }
}
