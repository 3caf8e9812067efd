/// Size and speed of an engine.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Time that each step takes before any work.
    pub base_step_us: f64,
    /// Tokens in one block of memory.
    pub block_tokens: u32,
    /// Memory for keys and values, in tokens.
    pub memory_tokens: u64,
    /// Tokens computed in one step at most.
    pub step_tokens_max: u32,
    /// Time that each token of prefill adds to a step.
    pub prefill_token_us: f64,
    /// Time that each resident token adds to a step.
    pub resident_token_us: f64,
    /// Time that each sequence adds to a step.
    pub sequence_us: f64,
    /// Most sequences running at once.
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
    /// Time of a step with this much work.
    #[must_use]
    pub fn step_us(&self, sequences: f64, prefill_tokens: f64, resident_tokens: f64) -> f64 {
        self.base_step_us + self.work_us(sequences, prefill_tokens, resident_tokens)
    }

    pub(crate) fn memory_blocks(&self) -> usize {
        usize::try_from(self.memory_tokens / u64::from(self.block_tokens)).unwrap_or(usize::MAX)
    }

    pub(crate) fn work_us(&self, sequences: f64, prefill: f64, resident: f64) -> f64 {
        self.sequence_us * sequences
            + self.prefill_token_us * prefill
            + self.resident_token_us * resident
    }
}
