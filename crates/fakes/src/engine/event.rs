use names::GenerationId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a generation ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Cancelled by the client.
    Cancelled,
    /// Reached its token limit, or the KV cache had no block left for it.
    Length,
    /// Generated all its tokens.
    Stop,
}

/// An event of one generation in the engine model.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct EngineEvent {
    /// Simulated time of the event.
    pub at_us: u64,
    /// Id of the generation.
    pub generation: GenerationId,
    /// What happened to the generation.
    pub kind: EngineEventKind,
}

/// Kind of an [`EngineEvent`].
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum EngineEventKind {
    /// The generation ended.
    Ended(EndReason),
    /// The generation entered this state.
    State(SequenceState),
    /// The token with this index was generated.
    Token(u32),
}

/// The engine rejected a request because its prompt does not fit the KV cache.
#[derive(Debug, Clone, Copy, Eq, Error, PartialEq)]
#[error("prompt is larger than the engine's memory")]
pub struct PromptTooLarge;

/// State of a generation that has not ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SequenceState {
    /// Its KV cache blocks were freed; it waits to be recomputed.
    Preempted,
    /// Its context is being computed.
    Prefill,
    /// Decoding.
    Running,
    /// Queued in the engine.
    Waiting,
}
