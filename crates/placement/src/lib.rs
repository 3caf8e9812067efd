//! Chooses the endpoint for a request.
//!
//! - A burst of long prompts can fill the memory of engines while they decode. An engine is filled
//!   only up to the predicted final sizes of its requests, so that none preempts another. A prompt
//!   goes to the engine with the earliest prefill, which also keeps the pauses between events of
//!   concurrent requests short.
//! - Prefill slows every request that the engine decodes. A part of the engines is therefore
//!   preferred for requests that are mostly prefill, and the others for mostly decode.
//! - Endpoints of one service differ in speed. The expected prefill time follows the endpoint's own
//!   speed, and long answers go to the faster engines.
//! - When several engines of a data centre leave at once, all instances migrate generations at the
//!   same time. KV cache copies queue on the link of the target engine, so a generation goes to a
//!   target whose copies in flight leave time for its own.

mod prefill_slowness;

use serde::{Deserialize, Serialize};

pub use prefill_slowness::PrefillSlowness;

/// Engine memory that predictions may fill, in percent. Predictions are of final sizes, which
/// requests do not reach all at once: halfway, a request uses about a tenth less.
const MEMORY_FILL_PERCENT: u64 = 108;

/// Engine memory that predictions may fill for a migration, in percent. The generation would
/// otherwise be lost.
const MIGRATION_MEMORY_FILL_PERCENT: u64 = 114;

/// Slots of an engine that may be filled, in percent.
const SLOT_FILL_PERCENT: u32 = 95;

/// Requests per slot up to which plain endpoints are filled, in percent. More would wait in the
/// endpoint's queue, which rejects requests when it is full.
const PLAIN_SLOT_FILL_PERCENT: u32 = 250;

/// Prefill speed of an engine. It is half of the data sheets' figure, because a step with a prefill
/// chunk also takes the time of a step without one.
pub const PREFILL_TOKENS_PER_MS: u64 = 7;

/// Range of the random part of a cost: the cost of a few requests that other instances have sent
/// since the last exchange of loads.
const JITTER_MS: u64 = 60;

/// Delay that one more request in a batch causes to the others.
const BATCH_MS_PER_REQUEST: u64 = 6;

/// Penalty of an engine whose memory is full; less in proportion to its fill.
const FULL_MEMORY_PENALTY_MS: u64 = 250;

/// Penalty of an endpoint that is slow after its start.
const COLD_PENALTY_MS: u64 = 150;

/// Assumed service time of a plain request.
const PLAIN_SERVICE_MS: u64 = 60;

/// Least number of candidates to compare.
const SAMPLE_SIZE_MIN: usize = 2;

/// Odd multiplier that spreads numbers over all of `u64`, from the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Engines that are preferred for requests that are mostly prefill, in percent; about the share of
/// engine time that such requests take.
const PREFILL_ENGINES_PERCENT: usize = 33;

/// Least number of engines of which some are preferred for prefill.
const ENGINES_MIN: usize = 4;

/// Penalty of an engine that is preferred for the other type of request. It is about the prefill
/// time of one prompt, so that a longer queue overflows to the other engines.
const OTHER_PREFERENCE_PENALTY_MS: u64 = 220;

/// Longest time for a KV cache copy to reach the target. Engines leave 1.5 s or more after their
/// notice, and the last part of the generation's KV cache follows the copy.
const KV_COPY_MS_MAX: u64 = 1_300;

/// Time to decode a token, as in the engines' data sheets.
const DECODE_MS_PER_TOKEN: u64 = 7;

/// Divisor of the extra decode time of a slow engine. Only a part of that time counts as delay,
/// because clients read the answer during decode.
const SLOW_DECODE_DIVISOR: u64 = 10;

/// Time to decode one token as a multiple of the time to prefill one, for comparing the two parts
/// of a request.
const DECODE_TO_PREFILL_RATIO: u64 = 50;

/// Resources that a request needs of an endpoint.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize)]
pub struct Demand {
    /// Tokens of the KV cache copy in a migration; 0 where nothing is copied.
    pub kv_copy_tokens: u64,
    /// Whether the request migrates from another engine and is lost if none has capacity.
    pub is_migration: bool,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u64,
    /// Longest acceptable time until the prefill is complete.
    pub prefill_ms_max: u64,
    /// Predicted tokens in memory at the end of the request; 0 for plain requests.
    pub predicted_tokens: u64,
}

/// Load of an endpoint by the requests of all instances.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Tokens of KV cache copies in flight to the endpoint.
    pub kv_copy_tokens: u64,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Number of requests.
    pub requests: u32,
    /// Predicted tokens in memory at the ends of the requests.
    pub predicted_tokens: u64,
}

/// An endpoint that can serve a request.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct Candidate {
    /// Speed of KV cache copies to the endpoint; 0 if it takes none.
    pub copy_tokens_per_s: u64,
    /// Round-trip time to the endpoint.
    pub round_trip_ms: u64,
    /// Whether the endpoint is slow after its start.
    pub is_cold: bool,
    /// Whether the engine is preferred for requests that are mostly prefill.
    pub is_preferred_for_prefill: bool,
    /// Load of the endpoint. It is not sent, because the receiver has a newer one.
    #[serde(skip)]
    pub load: Load,
    /// Memory of the engine; 0 for plain endpoints.
    pub memory_tokens: u64,
    /// Requests that the endpoint serves at once.
    pub slots: u32,
    /// Service time in percent of that of a usual endpoint.
    pub slowness_percent: u64,
}

impl Demand {
    /// Whether the prefill takes longer than the decode.
    fn is_mostly_prefill(&self) -> bool {
        let decode_tokens = self.predicted_tokens.saturating_sub(self.prefill_tokens);
        self.prefill_tokens > 0 && decode_tokens * DECODE_TO_PREFILL_RATIO < self.prefill_tokens
    }
}

/// Number of engines, of `count`, that are preferred for requests that are mostly prefill.
#[must_use]
pub fn prefill_engine_count(count: usize) -> usize {
    if count < ENGINES_MIN {
        return 0;
    }
    (count * PREFILL_ENGINES_PERCENT).div_ceil(100)
}

impl Load {
    /// Adds the load of other requests.
    pub fn add(&mut self, other: &Self) {
        self.kv_copy_tokens += other.kv_copy_tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.requests += other.requests;
        self.predicted_tokens += other.predicted_tokens;
    }

    /// Subtracts a part of the load. A field becomes 0 if an outdated part is larger.
    #[must_use]
    pub fn saturating_sub(&self, part: &Self) -> Self {
        Self {
            kv_copy_tokens: self.kv_copy_tokens.saturating_sub(part.kv_copy_tokens),
            prefill_tokens: self.prefill_tokens.saturating_sub(part.prefill_tokens),
            requests: self.requests.saturating_sub(part.requests),
            predicted_tokens: self.predicted_tokens.saturating_sub(part.predicted_tokens),
        }
    }
}

impl From<&Demand> for Load {
    /// Load that a newly placed request adds to its endpoint.
    fn from(demand: &Demand) -> Self {
        Self {
            kv_copy_tokens: demand.kv_copy_tokens,
            prefill_tokens: demand.prefill_tokens,
            requests: 1,
            predicted_tokens: demand.predicted_tokens,
        }
    }
}

impl Candidate {
    /// Whether the endpoint has capacity for the request. An idle engine accepts any size.
    #[must_use]
    pub fn has_capacity(&self, demand: &Demand) -> bool {
        if self.memory_tokens == 0 {
            return self.load.requests * 100 < self.slots.max(1) * PLAIN_SLOT_FILL_PERCENT;
        }
        let is_idle = self.load.requests == 0;
        let tokens = self.load.predicted_tokens + demand.predicted_tokens;
        let fill_percent = if demand.is_migration {
            MIGRATION_MEMORY_FILL_PERCENT
        } else {
            MEMORY_FILL_PERCENT
        };
        let fits = tokens * 100 <= self.memory_tokens * fill_percent;
        let is_in_time = self.prefill_ms(demand) <= demand.prefill_ms_max
            && self.kv_copy_ms(demand) <= KV_COPY_MS_MAX;
        (fits && is_in_time || is_idle)
            && self.load.requests * 100 < self.slots.max(1) * SLOT_FILL_PERCENT
    }

    /// Expected time until the request's prefill is complete, after the prompts that wait.
    fn prefill_ms(&self, demand: &Demand) -> u64 {
        let tokens = self.load.prefill_tokens + demand.prefill_tokens;
        tokens * self.slowness_percent / (100 * PREFILL_TOKENS_PER_MS)
    }

    /// Cost of the longer decode on an engine slower than the median.
    fn slow_decode_ms(&self, demand: &Demand) -> u64 {
        let decode_tokens = demand
            .predicted_tokens
            .saturating_sub(demand.prefill_tokens + demand.kv_copy_tokens);
        let extra_percent = self.slowness_percent.saturating_sub(100);
        decode_tokens * DECODE_MS_PER_TOKEN * extra_percent / (100 * SLOW_DECODE_DIVISOR)
    }

    /// Expected time until the request's KV cache copy is complete, after the copies in flight.
    fn kv_copy_ms(&self, demand: &Demand) -> u64 {
        if demand.kv_copy_tokens == 0 {
            return 0;
        }
        let tokens = self.load.kv_copy_tokens + demand.kv_copy_tokens;
        tokens * 1_000 / self.copy_tokens_per_s.max(1)
    }

    /// Expected time to the first token or response, plus penalties for delaying other requests.
    #[must_use]
    pub fn cost_ms(&self, demand: &Demand) -> u64 {
        let cold_ms = if self.is_cold { COLD_PENALTY_MS } else { 0 };
        if self.memory_tokens == 0 {
            let waiting = u64::from((self.load.requests + 1).saturating_sub(self.slots));
            let slots = u64::from(self.slots.max(1));
            let busy_ms = u64::from(self.load.requests) * PLAIN_SERVICE_MS / (4 * slots);
            return self.round_trip_ms + waiting * PLAIN_SERVICE_MS / slots + busy_ms + cold_ms;
        }
        let start_ms = self.prefill_ms(demand) + self.kv_copy_ms(demand);
        let predicted_tokens = self.load.predicted_tokens + demand.predicted_tokens;
        let memory_ms = predicted_tokens * FULL_MEMORY_PENALTY_MS / self.memory_tokens;
        let batch_ms = u64::from(self.load.requests) * BATCH_MS_PER_REQUEST;
        let is_preferred = self.is_preferred_for_prefill == demand.is_mostly_prefill();
        let preference_ms = if is_preferred {
            0
        } else {
            OTHER_PREFERENCE_PENALTY_MS
        };
        let slow_ms = self.slow_decode_ms(demand);
        self.round_trip_ms + start_ms + memory_ms + batch_ms + cold_ms + preference_ms + slow_ms
    }
}

/// Number of candidates to compare when recent requests of other instances are not yet in the
/// loads.
///
/// If every instance compared all candidates, all those requests would go to the same one. The best
/// candidate of a sample gets about one of them.
#[must_use]
pub fn sample_size(candidates: usize, unseen_requests: usize) -> usize {
    (candidates / (1 + unseen_requests)).max(SAMPLE_SIZE_MIN)
}

/// Position of the cheapest candidate with capacity, in a sample of the engines preferred for
/// prefill and a sample of the others.
///
/// `random` determines the samples and the choice between nearly equal candidates.
#[must_use]
pub fn choose_candidate(
    candidates: &[Candidate],
    demand: &Demand,
    unseen_requests: usize,
    random: u64,
) -> Option<usize> {
    let hash = |index: usize| (random ^ (index as u64 + 1)).wrapping_mul(HASH_MULTIPLIER) >> 32;
    let with_capacity =
        (0..candidates.len()).filter(|&index| candidates[index].has_capacity(demand));
    let (mut for_prefill, mut for_decode): (Vec<usize>, Vec<usize>) =
        with_capacity.partition(|&index| candidates[index].is_preferred_for_prefill);
    for group in [&mut for_prefill, &mut for_decode] {
        let size = sample_size(group.len(), unseen_requests);
        group.sort_unstable_by_key(|&index| hash(index));
        group.truncate(size);
    }
    let sampled = for_prefill.into_iter().chain(for_decode);
    sampled.min_by_key(|&index| {
        let jitter_ms = hash(index).wrapping_mul(HASH_MULTIPLIER) >> 40;
        candidates[index].cost_ms(demand) + jitter_ms % JITTER_MS
    })
}
