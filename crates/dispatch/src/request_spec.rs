use crate::prefix_index::sample_hashes;
use crate::{Demand, ModelIndex, RegionIndex};

/// Position of a row in a dispatcher's list of rows.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RowIndex(pub(crate) u32);

/// Requirements of a waiting or running request: its demand, row and arrival.
#[derive(Debug, Clone)]
pub(crate) struct RequestSpec {
    /// Position in the order of arrival; it stays the same when the request is queued again.
    pub(crate) arrival_number: u64,
    pub(crate) arrived_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) max_tokens: u32,
    pub(crate) model: ModelIndex,
    /// Sampled hashes of the prompt; see the module `prefix_index`.
    pub(crate) prefix: Box<[u64]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) region: RegionIndex,
    pub(crate) row: RowIndex,
    pub(crate) urgent: bool,
}

impl RequestSpec {
    pub(crate) fn new(
        demand: &Demand,
        row: RowIndex,
        arrived_us: u64,
        arrival_number: u64,
    ) -> Self {
        Self {
            arrival_number,
            arrived_us,
            deadline_us: demand.deadline_us,
            max_tokens: demand.max_tokens,
            model: demand.model,
            prefix: sample_hashes(&demand.prefix_hashes),
            prompt_tokens: demand.prompt_tokens,
            region: demand.region,
            row,
            urgent: demand.urgent,
        }
    }
}
