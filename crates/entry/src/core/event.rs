use names::GenerationId;

use super::{FailurePoint, StallTimeouts};
use crate::dependencies::Refusal;

/// What happened to a generation call.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationEvent {
    /// The budgets allow no restart.
    BudgetDenied {
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
    /// The budgets allow a restart.
    BudgetGranted,
    /// The caller closed the connection.
    ClientDisconnected,
    /// The engine said that the generation is over.
    GenerationEnded {
        /// Why.
        end: FinishReason,
        /// The generation.
        generation: GenerationId,
        /// Tokens of the whole generation.
        tokens: u32,
    },
    /// A permit was granted.
    PermitGranted {
        /// Number for the new generation.
        generation: GenerationId,
        /// How long the endpoint may be silent.
        stall_timeouts: StallTimeouts,
    },
    /// The engine refused the start because the number is in use.
    IdInUse {
        /// The generation.
        generation: GenerationId,
    },
    /// The link failed.
    ConnectionFailed {
        /// The generation.
        generation: GenerationId,
        /// Where in the life of the attempt.
        point: FailurePoint,
    },
    /// The engine does not know the generation.
    GenerationNotFound {
        /// The generation.
        generation: GenerationId,
    },
    /// The engine sent something that the interface does not allow.
    MalformedResponse {
        /// The generation.
        generation: GenerationId,
    },
    /// The engine said that it ran nothing.
    NotRun {
        /// The generation.
        generation: GenerationId,
    },
    /// The engine's stream began.
    StreamOpened {
        /// The generation.
        generation: GenerationId,
    },
    /// The request for a permit was refused.
    PermitRefused(Refusal),
    /// The engine answered with an error status that says nothing about the outcome.
    Rejected {
        /// The generation.
        generation: GenerationId,
        /// HTTP status.
        status: u16,
    },
    /// The owner took back the permit.
    PermitRevoked,
    /// The engine reported what the generation does.
    Status {
        /// The generation.
        generation: GenerationId,
        /// What it does.
        status: GenerationStatus,
    },
    /// Time went by.
    Tick,
    /// A token came.
    Token {
        /// The generation.
        generation: GenerationId,
        /// Position of the token, from 0.
        index: u32,
    },
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum FinishReason {
    /// It was cancelled.
    Cancelled,
    /// It reached the most tokens allowed.
    Length,
    /// The model ended it.
    Stop,
}

/// What a generation does.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationStatus {
    /// It lost its memory to others and waits to go on.
    Preempted,
    /// Its prompt is read.
    Prefill,
    /// It decodes.
    Running,
    /// It waits inside the engine.
    Waiting,
}
