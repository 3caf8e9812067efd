use std::cmp::Reverse;

use names::GenerationId;

/// One generation as the engine gets it.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Whom the engine time is counted for.
    pub account: usize,
    /// Number of the generation.
    pub generation: GenerationId,
    /// Tokens that will be generated; the engine's callers cannot know it.
    pub length_tokens: u32,
    /// Hashes of the prompt's whole blocks; each covers all blocks up to its own.
    pub prefix_hashes: Vec<u64>,
    /// Greater goes first.
    pub priority: i32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
}

/// Order in which sequences are served: priority, then arrival.
pub(crate) type Rank = (Reverse<i32>, u64);

#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) arrival: u64,
    /// Tokens whose keys and values are in memory.
    pub(crate) computed: u32,
    pub(crate) generated: u32,
    pub(crate) job: GenerationRequest,
    pub(crate) private_blocks: usize,
    /// Tokens computed in the current step.
    pub(crate) scheduled: u32,
}

impl Sequence {
    pub(crate) fn context_tokens(&self) -> u32 {
        self.job.prompt_tokens + self.generated
    }

    pub(crate) fn decodes(&self) -> bool {
        self.generated > 0 && self.pending_tokens() == 1
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.generated >= self.job.length_tokens
    }

    pub(crate) fn pending_tokens(&self) -> u32 {
        self.context_tokens() - self.computed
    }

    /// Private blocks that hold the context after the shared prefix.
    pub(crate) fn private_need(&self, block_tokens: u32) -> usize {
        let blocks = self.context_tokens().div_ceil(block_tokens) as usize;
        blocks.saturating_sub(self.job.prefix_hashes.len())
    }

    pub(crate) fn rank(&self) -> Rank {
        (Reverse(self.job.priority), self.arrival)
    }
}
