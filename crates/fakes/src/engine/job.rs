use names::GenerationId;

/// One generation as the engine gets it.
#[derive(Debug, Clone)]
pub struct Job {
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
