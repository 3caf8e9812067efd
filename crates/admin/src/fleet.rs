use serde::Serialize;

/// State of one endpoint as operators see it.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// `ip:port` at which it listens.
    pub address: String,
    /// Data centre in which it is.
    pub data_centre: String,
    /// Time since its last announcement.
    pub heard_ms_ago: u64,
    /// Memory that its generations take, in tokens.
    pub memory_used_tokens: u64,
    /// Memory that it has, in tokens.
    pub memory_tokens: u64,
    /// Name under which it announces itself.
    pub name: String,
    /// What it serves: a model with its version, or a service.
    pub offer: String,
    /// Instance that owns it.
    pub owner: String,
    /// Region in which it is.
    pub region: String,
    /// Requests that it runs.
    pub running: u64,
    /// `ready`, `leaving` or `lapsed`.
    pub state: String,
    /// Requests that wait for it.
    pub waiting: u64,
}

/// State of one instance as operators see it.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// `ip:port` at which other instances reach it.
    pub address: String,
    /// Data centre in which it is.
    pub data_centre: String,
    /// Time since it was last heard of.
    pub heard_ms_ago: u64,
    /// Number of its run.
    pub incarnation: u64,
    /// Name from its settings.
    pub name: String,
    /// Region in which it is.
    pub region: String,
    /// Revision that it has applied.
    pub revision: u64,
    /// Its roles: `entry`, `dispatch`, `control`.
    pub roles: Vec<String>,
    /// `ready`, `draining` or `lost`.
    pub state: String,
    /// `voter`, `learner` or `none`.
    pub voting: String,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Readiness {
    /// It takes none.
    NotReady {
        /// Why.
        reason: String,
    },
    /// It does.
    Ready,
}

/// State of the instance that answers.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Revision in force everywhere.
    pub in_force_revision: u64,
    /// Its name.
    pub instance: String,
    /// Present leader of the control group, where known.
    pub leader: Option<String>,
    /// Requests that wait here.
    pub queued_requests: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Why it does not.
    pub ready_reason: Option<String>,
    /// Revision that it has applied.
    pub revision: u64,
    /// Requests that run through it.
    pub running_requests: u64,
    /// Present term of the control group.
    pub term: u64,
    /// Its version.
    pub version: String,
}
