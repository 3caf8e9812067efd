use names::GenerationId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a generation ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Cancelled by the caller.
    Cancelled,
    /// Reached its token limit or filled the whole memory.
    Length,
    /// Ended by itself.
    Stop,
}

/// Load of the engine at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Memory referenced by running sequences.
    pub memory_used_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Sequences running.
    pub running: u32,
    /// Mean step time over the last second; zero when idle.
    pub token_interval_us: u64,
    /// Sequences waiting.
    pub waiting: u32,
}

/// Something that happened inside the engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Output {
    /// When.
    pub at_us: u64,
    /// To which generation.
    pub generation: GenerationId,
    /// What.
    pub kind: OutputKind,
}

/// Kind of output.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum OutputKind {
    /// The generation ended.
    Ended {
        /// Why.
        end: EndReason,
        /// Tokens of the whole generation.
        tokens: u32,
    },
    /// The generation changed its state.
    State(SequenceState),
    /// A token came out.
    Token {
        /// Its index, from 0.
        index: u32,
    },
}

/// Why the engine did not take a job.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
pub enum Refusal {
    /// The prompt is larger than the memory.
    #[error("prompt is larger than the engine's memory")]
    TooLarge,
    /// The waiting queue is full.
    #[error("engine has no room for another waiting generation")]
    WaitingFull,
}

/// State of a generation that has not ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SequenceState {
    /// Lost its memory; waits to be recomputed.
    Preempted,
    /// Its context is being computed.
    Prefill,
    /// Decoding.
    Running,
    /// Not started.
    Waiting,
}
