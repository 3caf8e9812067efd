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

/// What one request asks for.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Who asks.
    pub customer: CustomerIndex,
    /// Latest time at which a grant is of use.
    pub deadline_us: u64,
    /// Kind of work.
    pub kind: KindIndex,
    /// Most tokens the caller lets the engine generate.
    pub max_tokens: u32,
    /// Which model.
    pub model: ModelIndex,
    /// Hashes of the prompt's whole blocks; each hash covers all blocks up to its own.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Where the caller's entry instance is.
    pub region: RegionIndex,
    /// Goes first inside its own row's share.
    pub urgent: bool,
}

/// How a permit ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitEnd {
    /// The caller went away or the generation was cancelled.
    Cancelled,
    /// The generation ended by itself.
    Completed,
    /// The engine or its link failed.
    Failed,
    /// The engine said that it did not run the request.
    Refused,
}

/// What the owner is told.
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
    /// An endpoint is ready; repeated as long as it is.
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

/// What a row of the table gives one customer and kind of work.
#[derive(Debug, Clone, PartialEq)]
pub struct RowLimits {
    /// The customer.
    pub customer: CustomerIndex,
    /// The kind of work.
    pub kind: KindIndex,
    /// Priority towards engines; greater goes first.
    pub priority: i32,
    /// Most requests waiting at once.
    pub queued_max: u32,
    /// Longest wait in the queue.
    pub queueing_ms_max: u64,
    /// Most requests running at once.
    pub running_max: u32,
    /// Most generated tokens a second, averaged; none where unlimited.
    pub tokens_per_second_max: Option<f64>,
    /// Part of the row's own share that urgent requests may take, from 0 to 1.
    pub urgent_share: f64,
    /// Share of engine time relative to other rows.
    pub weight: f64,
}

/// What an endpoint offers.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointProfile {
    /// Tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// Memory for keys and values, in tokens.
    pub memory_tokens: u64,
    /// The model that it serves.
    pub model: ModelIndex,
    /// Most sequences it decodes at once.
    pub sequences_max: u32,
    /// Where it is.
    pub region: RegionIndex,
}

/// Load of an endpoint at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointLoad {
    /// Memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Sequences decoding.
    pub running: u32,
    /// Mean time between tokens over the last second; zero when idle.
    pub token_interval_us: u64,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
}
