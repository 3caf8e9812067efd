/// Size and speed of an engine model; times are in microseconds of simulated time.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Fixed time of each step.
    pub base_step_us: f64,
    /// Tokens in one block of the KV cache.
    pub block_tokens: u32,
    /// Size of the KV cache.
    pub memory_tokens: u64,
    /// Maximum number of tokens computed in one step.
    pub step_tokens_max: u32,
    /// Time that each token of prefill adds to a step.
    pub prefill_token_us: f64,
    /// Time that each token in the KV cache adds to a step.
    pub resident_token_us: f64,
    /// Time that each scheduled sequence adds to a step.
    pub sequence_us: f64,
    /// Maximum number of sequences that run at once.
    pub sequences_max: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            base_step_us: 12_000.0,
            block_tokens: 16,
            memory_tokens: 131_072,
            prefill_token_us: 20.0,
            resident_token_us: 0.06,
            sequence_us: 200.0,
            sequences_max: 128,
            step_tokens_max: 512,
        }
    }
}

impl EngineSettings {
    /// Time of a step with this work, in microseconds.
    #[must_use]
    pub fn step_duration_us(
        &self,
        sequences: f64,
        prefill_tokens: f64,
        resident_tokens: f64,
    ) -> f64 {
        self.base_step_us + self.work_us(sequences, prefill_tokens, resident_tokens)
    }

    pub(crate) fn memory_blocks(&self) -> usize {
        usize::try_from(self.memory_tokens / u64::from(self.block_tokens)).unwrap_or(usize::MAX)
    }

    /// Time of a step without its fixed part, in microseconds.
    pub(crate) fn work_us(&self, sequences: f64, prefill_tokens: f64, resident_tokens: f64) -> f64 {
        self.sequence_us * sequences
            + self.prefill_token_us * prefill_tokens
            + self.resident_token_us * resident_tokens
    }
}
