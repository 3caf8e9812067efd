//! Chooses the endpoint for a request.
//!
//! Pattern: a burst of long prompts on engines whose memory fills while they decode. Each engine
//! is filled only to what its requests are predicted to hold at their ends, so that none preempts
//! another, and a prompt goes where it is read first, which also keeps the pauses between events
//! of the requests beside it short.
//!
//! Pattern: short answers to long prompts beside long answers. Reading a prompt slows every answer
//! that is made on the engine, so a part of the engines is preferred for requests that mostly read,
//! and the others for those that mostly write.
//!
//! Pattern: endpoints of one service differ in speed. Prompts go where they are read first by the
//! endpoint's own pace, and long answers to the faster engines.
//!
//! Pattern: several engines of a data centre leave at once, and all instances move runs off them in
//! the same moment. Copies queue on the link of the engine that takes them, so a run goes where the
//! copies that are on their way leave time for its own.

use serde::{Deserialize, Serialize};

/// Part of an engine's memory that predictions may fill, in percent. They are for the ends of runs,
/// which do not come all at once: halfway, a run holds about a tenth less than at its end.
const MEMORY_PERCENT: u64 = 108;

/// Part of an engine's memory that predictions may fill where a run moves that would be lost
/// otherwise, in percent.
const MOVE_MEMORY_PERCENT: u64 = 114;

/// Part of an engine's slots that is filled, in percent.
const SLOTS_PERCENT: u32 = 95;

/// Requests in service per slot up to which plain endpoints are filled, in percent; more would
/// wait in the endpoint's queue, which is rejected at its end.
const PLAIN_FILL_PERCENT: u32 = 250;

/// Prompt tokens that an engine reads in a millisecond: half of what the engines' data sheets say,
/// as every step that reads a chunk takes the time of a step without one besides.
pub const PREFILL_TOKENS_PER_MS: u64 = 7;

/// Range of the random part of a cost, in ms: what some requests that other instances have sent
/// since the last exchange cost.
const JITTER_MS: u64 = 60;

/// Delay that one more request in a batch means to the others, in ms.
const CROWD_MS_PER_RUN: u64 = 6;

/// Delay by which a nearly full engine is disfavoured, in ms at a fill of 100 %.
const FILL_MS: u64 = 250;

/// Delay by which an endpoint is disfavoured that is slow after its start.
const COLD_MS: u64 = 150;

/// Service time of a plain request, in ms, before any was measured.
const PLAIN_SERVICE_MS: u64 = 60;

/// Candidates that are compared at least.
const SAMPLE_MIN: usize = 2;

/// Odd factor that spreads numbers over all of `u64`, from the golden ratio.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Part of the engines that is preferred for requests that mostly read, in percent; about their
/// part of the engines' time.
const READING_PERCENT: usize = 33;

/// Engines below which none is set apart.
const ENGINES_MIN: usize = 4;

/// Delay by which an engine of the other part is disfavoured, in ms; about the time to read one
/// prompt, so that a queue of more than that overflows into the other part.
const OTHER_PART_MS: u64 = 220;

/// Longest time in which a copy is to reach the endpoint that takes the run; engines leave 1.5 s
/// and more after their notice, and the last part of the run's memory follows the copy.
const COPY_MS_MAX: u64 = 1_300;

/// Time to write a token, as the engines' data sheets say.
const WRITE_MS_PER_TOKEN: u64 = 7;

/// Part of a longer writing time that counts as delay, one in this many; clients read meanwhile.
const SLOW_WRITE_SHARE: u64 = 10;

/// Time of one token as a multiple of the time to read one, for telling what a request mostly does.
const WRITE_TO_READ: u64 = 50;

/// What a request needs.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize)]
pub struct Demand {
    /// Tokens of its memory that have to be copied.
    pub kv_copy_tokens: u64,
    /// Whether it is a run that is lost if it finds no room.
    pub is_migration: bool,
    /// Prompt tokens to be read.
    pub prefill_tokens: u64,
    /// Longest time until its prompt is read.
    pub prefill_ms_max: u64,
    /// Tokens that it holds at its end, as predicted; 0 for plain requests.
    pub predicted_tokens: u64,
}

/// What an endpoint runs for all instances.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Tokens of runs that are being copied to it.
    pub kv_copy_tokens: u64,
    /// Prompt tokens that wait to be read.
    pub prefill_tokens: u64,
    /// Requests.
    pub requests: u32,
    /// Tokens that they hold at their ends, as predicted.
    pub predicted_tokens: u64,
}

/// An endpoint that a request may be sent to.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
pub struct Candidate {
    /// Tokens that its link copies in a second, for a run that moves there; 0 where none are.
    pub copy_tokens_per_s: u64,
    /// Time of a round trip.
    pub round_trip_ms: u64,
    /// Whether it is slow after its start.
    pub is_cold: bool,
    /// Whether it is preferred for requests that mostly read.
    pub is_preferred_for_prefill: bool,
    /// What it runs; whoever is asked to choose knows that better.
    #[serde(skip)]
    pub load: Load,
    /// Memory of its engine; 0 for plain endpoints.
    pub memory_tokens: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that its work takes, in percent of that of the median endpoint.
    pub slowness_percent: u64,
}

impl Demand {
    /// Whether reading the prompt takes longer than writing the answer.
    fn mostly_reads(&self) -> bool {
        let written = self.predicted_tokens.saturating_sub(self.prefill_tokens);
        self.prefill_tokens > 0 && written * WRITE_TO_READ < self.prefill_tokens
    }
}

/// Engines of `count` that are preferred for requests that mostly read.
#[must_use]
pub fn prefill_engine_count(count: usize) -> usize {
    if count < ENGINES_MIN {
        return 0;
    }
    (count * READING_PERCENT).div_ceil(100)
}

impl Load {
    /// Adds what others run.
    pub fn add(&mut self, other: &Self) {
        self.kv_copy_tokens += other.kv_copy_tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.requests += other.requests;
        self.predicted_tokens += other.predicted_tokens;
    }

    /// What is left without a part of it; nothing where the part is older and larger.
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
    /// Load of an endpoint that has just taken a request.
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
    /// Whether the request has room.
    #[must_use]
    pub fn has_capacity(&self, demand: &Demand) -> bool {
        if self.memory_tokens == 0 {
            return self.load.requests * 100 < self.slots.max(1) * PLAIN_FILL_PERCENT;
        }
        let is_idle = self.load.requests == 0;
        let tokens = self.load.predicted_tokens + demand.predicted_tokens;
        let percent = if demand.is_migration {
            MOVE_MEMORY_PERCENT
        } else {
            MEMORY_PERCENT
        };
        let fits = tokens * 100 <= self.memory_tokens * percent;
        let is_in_time =
            self.read_ms(demand) <= demand.prefill_ms_max && self.copy_ms(demand) <= COPY_MS_MAX;
        (fits && is_in_time || is_idle)
            && self.load.requests * 100 < self.slots.max(1) * SLOTS_PERCENT
    }

    /// Expected time until the request's prompt is read, behind those that wait.
    fn read_ms(&self, demand: &Demand) -> u64 {
        let tokens = self.load.prefill_tokens + demand.prefill_tokens;
        tokens * self.slowness_percent / (100 * PREFILL_TOKENS_PER_MS)
    }

    /// What it costs that a slow engine takes longer to write the answer.
    fn slow_write_ms(&self, demand: &Demand) -> u64 {
        let written = demand
            .predicted_tokens
            .saturating_sub(demand.prefill_tokens + demand.kv_copy_tokens);
        let extra_percent = self.slowness_percent.saturating_sub(100);
        written * WRITE_MS_PER_TOKEN * extra_percent / (100 * SLOW_WRITE_SHARE)
    }

    /// Expected time until the request's memory has been copied, behind other copies.
    fn copy_ms(&self, demand: &Demand) -> u64 {
        if demand.kv_copy_tokens == 0 {
            return 0;
        }
        let tokens = self.load.kv_copy_tokens + demand.kv_copy_tokens;
        tokens * 1_000 / self.copy_tokens_per_s.max(1)
    }

    /// Expected delay of the request's first answer, with what it costs the others.
    #[must_use]
    pub fn cost_ms(&self, demand: &Demand) -> u64 {
        let cold_ms = if self.is_cold { COLD_MS } else { 0 };
        if self.memory_tokens == 0 {
            let waiting = u64::from((self.load.requests + 1).saturating_sub(self.slots));
            let slots = u64::from(self.slots.max(1));
            let busy_ms = u64::from(self.load.requests) * PLAIN_SERVICE_MS / (4 * slots);
            return self.round_trip_ms + waiting * PLAIN_SERVICE_MS / slots + busy_ms + cold_ms;
        }
        let read_ms = self.read_ms(demand) + self.copy_ms(demand);
        let fill_ms =
            (self.load.predicted_tokens + demand.predicted_tokens) * FILL_MS / self.memory_tokens;
        let crowd_ms = u64::from(self.load.requests) * CROWD_MS_PER_RUN;
        let is_of_part = self.is_preferred_for_prefill == demand.mostly_reads();
        let part_ms = if is_of_part { 0 } else { OTHER_PART_MS };
        let slow_ms = self.slow_write_ms(demand);
        self.round_trip_ms + read_ms + fill_ms + crowd_ms + cold_ms + part_ms + slow_ms
    }
}

/// Number of candidates to compare where requests of other instances are not known yet.
///
/// The best of all candidates would get all of those requests at once; the best of a sample gets
/// about one of them.
#[must_use]
pub fn sample_size(candidates: usize, unseen_requests: usize) -> usize {
    (candidates / (1 + unseen_requests)).max(SAMPLE_MIN)
}

/// Position of the best candidate with room, of a sample of each part of the engines.
///
/// `draw` decides the samples and between nearly equal candidates.
#[must_use]
pub fn choose_candidate(
    candidates: &[Candidate],
    demand: &Demand,
    unseen_requests: usize,
    draw: u64,
) -> Option<usize> {
    let noise = |at: usize| (draw ^ (at as u64 + 1)).wrapping_mul(SPREAD) >> 32;
    let with_room = (0..candidates.len()).filter(|&at| candidates[at].has_capacity(demand));
    let (mut reading, mut writing): (Vec<usize>, Vec<usize>) =
        with_room.partition(|&at| candidates[at].is_preferred_for_prefill);
    for part in [&mut reading, &mut writing] {
        let size = sample_size(part.len(), unseen_requests);
        part.sort_unstable_by_key(|&at| noise(at));
        part.truncate(size);
    }
    let sampled = reading.into_iter().chain(writing);
    sampled.min_by_key(|&at| {
        let jitter_ms = noise(at).wrapping_mul(SPREAD) >> 40;
        candidates[at].cost_ms(demand) + jitter_ms % JITTER_MS
    })
}
