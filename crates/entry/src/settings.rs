use std::net::SocketAddr;

use names::RegionName;
use slog::Logger;

/// How an entry serves callers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// Takes one line per event.
    pub log: Logger,
    /// Region of this instance.
    pub region: RegionName,
    /// Seed of jitter and generation numbers; must differ between starts.
    pub seed: u64,
}

/// Bounds on what callers may use.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body.
    pub body_bytes: usize,
    /// Longest silence of a caller who sends a body or reads an answer.
    pub caller_idle_ms: u64,
    /// Longest time to connect to an endpoint; above the second after which TCP sends a lost
    /// request for a connection again.
    pub connect_ms: u64,
    /// Most caller connections at once.
    pub connections: usize,
    /// Largest request head; also the write buffer of a connection. At least 8,192.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Longest line of an engine's event stream.
    pub line_bytes: usize,
    /// Most requests at once.
    pub requests: usize,
    /// Longest time of a call of a plain service.
    pub service_timeout_ms: u64,
    /// Largest answer of a claimed call that is stored whole.
    pub stored_bytes: usize,
    /// Longest time of a request.
    pub timeout_ms: u64,
    /// Most tokens of one answer.
    pub tokens: u32,
    /// Most text of an answer that is held until it is whole.
    pub whole_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            caller_idle_ms: 30_000,
            connect_ms: 1_500,
            connections: 20_000,
            head_bytes: 16 << 10,
            headers: 64,
            line_bytes: 64 << 10,
            requests: 10_000,
            service_timeout_ms: 30_000,
            stored_bytes: 64 << 10,
            timeout_ms: 15 * 60 * 1_000,
            tokens: 65_536,
            whole_bytes: 4 << 20,
        }
    }
}
