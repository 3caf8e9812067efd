use std::net::SocketAddr;
use std::path::PathBuf;

use slog::Logger;

/// What a registry is opened with.
#[derive(Debug, Clone)]
pub struct RegistrySettings {
    /// Data folder.
    pub data_folder: PathBuf,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat_interval_ms: u64,
    /// Where other instances connect; all registries use the same port.
    pub inner_address: SocketAddr,
    /// Where it listens for them, if elsewhere, as behind a forwarder.
    pub inner_listen: Option<SocketAddr>,
    /// Whether the group is being founded: this start is the first of the whole deployment.
    pub is_bootstrapping: bool,
    /// Where events are logged.
    pub log: Logger,
    /// Inner addresses of registries known from the start.
    pub seeds: Vec<SocketAddr>,
    /// Voters that the group maintains.
    pub voters_wanted: usize,
}

/// What a subscription is opened with.
#[derive(Debug, Clone)]
pub struct SubscriptionSettings {
    /// Name of this instance.
    pub instance: String,
    /// Time for which a proven document may be served from.
    pub lease_ms: u64,
    /// Where events are logged.
    pub log: Logger,
    /// Inner addresses of registries known from the start.
    pub seeds: Vec<SocketAddr>,
}
