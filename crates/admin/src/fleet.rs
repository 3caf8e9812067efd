use serde::Serialize;

/// Status of an endpoint, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// `ip:port` that it listens on.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Time since its last announcement.
    pub heard_ms_ago: u64,
    /// KV cache in use, in tokens.
    pub memory_used_tokens: u64,
    /// Capacity of its KV cache, in tokens; 0 for a service.
    pub memory_tokens: u64,
    /// Name in its announcements.
    pub name: String,
    /// Model and version, or service, that it offers.
    pub offer: String,
    /// Instance that owns it.
    pub owner: String,
    /// Its region.
    pub region: String,
    /// Requests that it runs.
    pub running: u64,
    /// `ready`, `leaving` or `lapsed`.
    pub state: String,
    /// Requests in its own queue.
    pub waiting: u64,
}

/// Status of an instance, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// `ip:port` that other instances connect to.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Time since its last heartbeat.
    pub heard_ms_ago: u64,
    /// Number that grows with each process start.
    pub incarnation: u64,
    /// Name in its settings.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Table revision that it has applied.
    pub revision: u64,
    /// Its roles: `entry`, `dispatch`, `control`.
    pub roles: Vec<String>,
    /// `ready`, `draining` or `lost`.
    pub state: String,
    /// `voter`, `learner` or `none`.
    pub voting: String,
}

/// Status of the instance that answers the request.
#[derive(Debug, Clone, Serialize)]
pub struct LocalInstanceStatus {
    /// Whether the instance is draining.
    pub draining: bool,
    /// Table revision that is in force on all instances.
    pub in_force_revision: u64,
    /// Name of the instance.
    pub instance: String,
    /// Leader of the voters, if known.
    pub leader: Option<String>,
    /// Requests in the queues of the instance.
    pub queued_requests: u64,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Why it is not ready; absent if it is.
    pub ready_reason: Option<String>,
    /// Table revision that it has applied.
    pub revision: u64,
    /// Requests that run on endpoints through the instance.
    pub running_requests: u64,
    /// Term of the voters.
    pub term: u64,
    /// Version of the program.
    pub version: String,
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Readiness {
    /// It accepts none.
    NotReady {
        /// Why, as text for the operator.
        reason: String,
    },
    /// It accepts them.
    Ready,
}
