use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Contents of a heartbeat: the properties and state of one incarnation of an endpoint.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Start of this incarnation, in ms since the Unix epoch; greater for later incarnations.
    pub started_at_ms: u64,
    /// Remaining time of its cold start, in which it is slow.
    pub cold_left_ms: u64,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of the endpoint.
    pub id: String,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Name of its service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Version of its software; outputs of different versions cannot be joined.
    pub software_version: String,
}

/// State of an incarnation, in the only order in which the states follow each other.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has left.
    Gone,
}
