use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What one incarnation of an endpoint says of itself.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Where it serves.
    pub address: SocketAddr,
    /// Start of this incarnation, in ms since the Unix epoch; later ones are greater.
    pub started_at_ms: u64,
    /// How much longer it is slow after its start.
    pub cold_left_ms: u64,
    /// Where it is.
    pub data_centre: String,
    /// Name of the endpoint.
    pub id: String,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}

/// Stages of an incarnation, in the only order in which they follow each other.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Ends what it runs and takes nothing new.
    Draining,
    /// Has left.
    Gone,
}
