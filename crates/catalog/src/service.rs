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
