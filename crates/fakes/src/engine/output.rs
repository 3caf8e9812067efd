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

/// Something that happened inside the engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct EngineEvent {
    /// When.
    pub at_us: u64,
    /// To which generation.
    pub generation: GenerationId,
    /// What.
    pub kind: EngineEventKind,
}

/// Kind of output.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum EngineEventKind {
    /// The generation ended.
    Ended(EndReason),
    /// The generation changed its state.
    State(SequenceState),
    /// The token with this index came out.
    Token(u32),
}

/// The engine did not take a job: its prompt is larger than the memory.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
#[error("prompt is larger than the engine's memory")]
pub struct PromptTooLarge;

/// State of a generation that has not ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq, Serialize)]
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
