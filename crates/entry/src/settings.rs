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
    pub body_bytes_max: usize,
    /// Longest silence of a caller who sends a body or reads an answer.
    pub client_idle_timeout_ms: u64,
    /// Longest time to connect to an endpoint; above the second after which TCP sends a lost
    /// request for a connection again.
    pub connect_timeout_ms: u64,
    /// Most caller connections at once.
    pub connections_max: usize,
    /// Largest request head; also the write buffer of a connection. At least 8,192.
    pub head_bytes_max: usize,
    /// Most headers of a request.
    pub headers_max: usize,
    /// Longest line of an engine's event stream.
    pub line_bytes_max: usize,
    /// Most requests at once.
    pub requests_max: usize,
    /// Longest time of a call of a plain service.
    pub service_timeout_ms: u64,
    /// Largest answer of a claimed call that is stored whole.
    pub stored_bytes_max: usize,
    /// Longest time of a request.
    pub request_timeout_ms: u64,
    /// Most tokens of one answer.
    pub tokens_max: u32,
    /// Most text of an answer that is held until it is whole.
    pub buffered_bytes_max: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1 << 20,
            client_idle_timeout_ms: 30_000,
            connect_timeout_ms: 1_500,
            connections_max: 20_000,
            head_bytes_max: 16 << 10,
            headers_max: 64,
            line_bytes_max: 64 << 10,
            requests_max: 10_000,
            service_timeout_ms: 30_000,
            stored_bytes_max: 64 << 10,
            request_timeout_ms: 15 * 60 * 1_000,
            tokens_max: 65_536,
            buffered_bytes_max: 4 << 20,
        }
    }
}
