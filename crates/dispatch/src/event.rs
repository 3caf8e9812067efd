use names::{EndpointId, PermitId, RequestId};
use serde::{Deserialize, Serialize};

/// Position of a customer in the owner's list.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct CustomerIndex(pub u32);

/// Position of a kind of work in the owner's list.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KindIndex(pub u32);

/// Position of a model or plain service in the owner's list.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct ModelIndex(pub u32);

/// Position of a region in the owner's list.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct RegionIndex(pub u32);

/// Requirements of one request.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Customer that sent the request.
    pub customer: CustomerIndex,
    /// Latest time at which a grant is useful.
    pub deadline_us: u64,
    /// Kind of work of the request.
    pub kind: KindIndex,
    /// Limit on generated tokens, set by the client.
    pub max_tokens: u32,
    /// Requested model or plain service.
    pub model: ModelIndex,
    /// Hashes of the prompt's complete blocks. Each hash covers all blocks up to its own.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Region of the client's entry instance.
    pub region: RegionIndex,
    /// Whether it is served first, within its own row's share.
    pub urgent: bool,
}

/// How a permit ended; encoded by variant position.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitEnd {
    /// The client disconnected or the generation was cancelled.
    Cancelled,
    /// The generation completed.
    Completed,
    /// The engine or the connection to it failed.
    Failed,
    /// The engine reported that it did not run the request.
    Refused,
}

/// An event that the shard's owner reports to the dispatcher.
#[derive(Debug)]
pub enum Event<'a> {
    /// Blocks entered an endpoint's prefix cache. The event may be late and incomplete.
    BlocksCached {
        /// The endpoint.
        endpoint: EndpointId,
        /// Hashes of the blocks.
        hashes: &'a [u64],
    },
    /// Blocks left an endpoint's prefix cache. The event may be late and incomplete.
    BlocksEvicted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Hashes of the blocks.
        hashes: &'a [u64],
    },
    /// An endpoint announced that it is ready. Endpoints repeat this.
    EndpointAnnounced {
        /// The endpoint.
        endpoint: EndpointId,
        /// Model, capacity and region of the endpoint.
        profile: &'a EndpointProfile,
    },
    /// The endpoint's lease lapsed or it failed; its permits end with it.
    EndpointLapsed {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint accepts no new requests and completes its running ones.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A running generation produced tokens. The entry that relays it reports this in batches.
    GenerationProgressed {
        /// Tokens generated so far.
        generated_tokens: u32,
        /// The permit.
        permit: PermitId,
    },
    /// Limits of rows of the table that apply from now on.
    LimitsChanged {
        /// New or changed limits.
        limits: &'a [RowLimits],
    },
    /// An endpoint reported its load.
    LoadReported {
        /// Age of the load.
        age_us: u64,
        /// The endpoint.
        endpoint: EndpointId,
        /// The load.
        load: &'a EndpointLoad,
    },
    /// A permit ended.
    PermitEnded {
        /// How it ended.
        end: PermitEnd,
        /// Tokens generated in all.
        generated_tokens: u32,
        /// The permit.
        permit: PermitId,
    },
    /// A request asks for a permit.
    RequestArrived {
        /// Requirements of the request.
        demand: &'a Demand,
        /// The request.
        request: RequestId,
    },
    /// A queued request is no longer wanted.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
    },
    /// Time passed without another event.
    Tick,
}

/// Limits and weight that a row of the table gives one customer's kind of work.
#[derive(Debug, Clone, PartialEq)]
pub struct RowLimits {
    /// The customer.
    pub customer: CustomerIndex,
    /// The kind of work.
    pub kind: KindIndex,
    /// Priority on engines; greater is served first.
    pub priority: i32,
    /// Limit on waiting requests.
    pub queued_max: u32,
    /// Longest wait in the queue.
    pub queueing_ms_max: u64,
    /// Limit on running requests.
    pub running_max: u32,
    /// Limit on the average rate of generated tokens; `None` if unlimited.
    pub tokens_per_second_max: Option<f64>,
    /// Fraction of the row's engine time that urgent requests may use first, from 0 to 1.
    pub urgent_share: f64,
    /// Weight of the row's share of engine time, relative to other rows.
    pub weight: f64,
}

/// Model, capacity and region of an endpoint, as announced.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointProfile {
    /// Tokens in one block of the prefix cache; 0 for plain services.
    pub block_tokens: u32,
    /// KV cache memory.
    pub memory_tokens: u64,
    /// Model or plain service that it serves.
    pub model: ModelIndex,
    /// Limit on sequences that it decodes at once.
    pub sequences_max: u32,
    /// Region of the endpoint.
    pub region: RegionIndex,
}

/// Load of an endpoint at one moment, from its load report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointLoad {
    /// KV cache memory in use.
    pub memory_used_tokens: u64,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Sequences in decode.
    pub running: u32,
    /// Mean time between tokens over the last second; 0 when idle.
    pub token_interval_us: u64,
    /// Sequences that wait in the engine's queue.
    pub waiting: u32,
}
