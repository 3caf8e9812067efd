use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use slog::Logger;

use crate::DocumentDecoder;

/// Settings to open a [`Registry`](crate::Registry).
#[derive(Debug, Clone)]
pub struct RegistrySettings {
    /// Folder of the journal and snapshots.
    pub data_folder: PathBuf,
    /// Decodes the documents.
    pub decoder: Arc<dyn DocumentDecoder>,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat_interval_ms: u64,
    /// Address for other instances; all registries use the same port.
    pub inner_address: SocketAddr,
    /// Address to listen on if it is not `inner_address`, such as behind a forwarder.
    pub inner_listen: Option<SocketAddr>,
    /// Whether to bootstrap the group, because this is the first start of the whole deployment.
    pub is_bootstrapping: bool,
    /// Logger of the registry.
    pub log: Logger,
    /// Inner addresses of the registries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Number of voters that the group maintains.
    pub voters_wanted: usize,
}

/// Settings to start a [`Subscription`](crate::Subscription).
#[derive(Debug, Clone)]
pub struct SubscriptionSettings {
    /// Name of this instance.
    pub instance: String,
    /// Duration of the [`Lease`](crate::Lease).
    pub lease_ms: u64,
    /// Duration of the lease while a newer document than the one in force is known.
    pub lease_outdated_ms: u64,
    /// Logger of the subscription.
    pub log: Logger,
    /// Inner addresses of the registries to contact first.
    pub seeds: Vec<SocketAddr>,
}
