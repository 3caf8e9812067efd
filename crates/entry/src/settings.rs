use std::net::SocketAddr;

use names::RegionName;
use slog::Logger;

/// Settings of an [`Entry`](crate::Entry).
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address on which the entry listens for clients.
    pub address: SocketAddr,
    /// Limits on the requests and connections of clients.
    pub limits: Limits,
    /// Log of the entry.
    pub log: Logger,
    /// Region of this instance.
    pub region: RegionName,
    /// Seed of jitter and generation ids; must differ between process starts.
    pub seed: u64,
}

/// Limits on the requests and connections of clients.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request body.
    pub body_bytes_max: usize,
    /// Bytes of text that are buffered for a response that is not streamed.
    pub buffered_bytes_max: usize,
    /// Time without progress while a client sends a body or reads a response.
    pub client_idle_timeout_ms: u64,
    /// Time for connecting to an endpoint; more than the one second after which TCP sends a lost
    /// SYN again.
    pub connect_timeout_ms: u64,
    /// Open connections of clients.
    pub connections_max: usize,
    /// Bytes of a request head; also the write buffer of a connection. At least 8,192.
    pub head_bytes_max: usize,
    /// Headers of a request.
    pub headers_max: usize,
    /// Bytes of one line of an engine's event stream.
    pub line_bytes_max: usize,
    /// Time for a whole request.
    pub request_timeout_ms: u64,
    /// Requests in progress.
    pub requests_max: usize,
    /// Time for a call of a plain service.
    pub service_timeout_ms: u64,
    /// Bytes of the response body that is stored with a claim.
    pub stored_bytes_max: usize,
    /// Tokens of one response.
    pub tokens_max: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1 << 20,
            buffered_bytes_max: 4 << 20,
            client_idle_timeout_ms: 30_000,
            connect_timeout_ms: 1_500,
            connections_max: 20_000,
            head_bytes_max: 16 << 10,
            headers_max: 64,
            line_bytes_max: 64 << 10,
            request_timeout_ms: 15 * 60 * 1_000,
            requests_max: 10_000,
            service_timeout_ms: 30_000,
            stored_bytes_max: 64 << 10,
            tokens_max: 65_536,
        }
    }
}
