use crate::prefix::sample;
use crate::{Demand, ModelIndex, RegionIndex};

/// Position of a row among those of a dispatcher.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RowIndex(pub(crate) u32);

/// What is kept of a demand while its request waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) arrived_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) max_tokens: u32,
    pub(crate) model: ModelIndex,
    /// Sampled hashes of the prompt; see the module `prefix`.
    pub(crate) prefix: Box<[u64]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) region: RegionIndex,
    pub(crate) row: RowIndex,
    /// Arrival order, kept when the request is queued again.
    pub(crate) sequence: u64,
    pub(crate) urgent: bool,
}

impl Work {
    pub(crate) fn new(demand: &Demand, row: RowIndex, arrived_us: u64, sequence: u64) -> Self {
        Self {
            arrived_us,
            deadline_us: demand.deadline_us,
            max_tokens: demand.max_tokens,
            model: demand.model,
            prefix: sample(&demand.prefix_hashes),
            prompt_tokens: demand.prompt_tokens,
            region: demand.region,
            row,
            sequence,
            urgent: demand.urgent,
        }
    }
}
