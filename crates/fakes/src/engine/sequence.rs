use std::cmp::Reverse;

use crate::engine::Job;

/// Order in which sequences are served: priority, then arrival.
pub(crate) type Rank = (Reverse<i32>, u64);

#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) arrival: u64,
    /// Tokens whose keys and values are in memory.
    pub(crate) computed: u32,
    pub(crate) generated: u32,
    pub(crate) job: Job,
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

    pub(crate) fn pending_tokens(&self) -> u32 {
        self.context_tokens() - self.computed
    }

    pub(crate) fn rank(&self) -> Rank {
        (Reverse(self.job.priority), self.arrival)
    }

    /// Private blocks that hold the context after the shared prefix.
    pub(crate) fn private_need(&self, block_tokens: u32) -> usize {
        let blocks = self.context_tokens().div_ceil(block_tokens) as usize;
        blocks.saturating_sub(self.job.prefix_hashes.len())
    }
}
