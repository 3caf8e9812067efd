use std::cmp::Reverse;

use names::GenerationId;

/// A generation request as submitted to the engine model.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Index of the account that the engine time is charged to.
    pub account: usize,
    /// Id of the generation.
    pub generation: GenerationId,
    /// Tokens that will be generated. Dispatch policies do not know this number.
    pub length_tokens: u32,
    /// Hashes of the prompt's whole blocks. Each hash covers its block and all blocks before it.
    pub prefix_hashes: Vec<u64>,
    /// Sequences with a greater priority are scheduled first.
    pub priority: i32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
}

/// Scheduling order of sequences: priority, then arrival.
pub(crate) type SchedulingRank = (Reverse<i32>, u64);

/// Generation on the engine, with its progress.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) arrival_number: u64,
    /// Tokens whose keys and values are in the KV cache.
    pub(crate) computed_tokens: u32,
    pub(crate) generated_tokens: u32,
    pub(crate) private_blocks: usize,
    pub(crate) request: GenerationRequest,
    /// Tokens computed in the current step.
    pub(crate) scheduled_tokens: u32,
}

impl Sequence {
    pub(crate) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.generated_tokens
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.generated_tokens >= self.request.length_tokens
    }

    pub(crate) fn is_decoding(&self) -> bool {
        self.generated_tokens > 0 && self.pending_tokens() == 1
    }

    pub(crate) fn pending_tokens(&self) -> u32 {
        self.context_tokens() - self.computed_tokens
    }

    pub(crate) fn rank(&self) -> SchedulingRank {
        (Reverse(self.request.priority), self.arrival_number)
    }

    /// Private blocks for the context after the shared prefix.
    pub(crate) fn required_private_blocks(&self, block_tokens: u32) -> usize {
        let blocks = self.context_tokens().div_ceil(block_tokens) as usize;
        blocks.saturating_sub(self.request.prefix_hashes.len())
    }
}
