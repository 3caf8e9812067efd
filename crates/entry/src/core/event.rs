use names::GenerationId;

use super::{FailurePoint, StallTimeouts};
use crate::dependencies::Refusal;

/// Input of a [`GenerationCall`](super::GenerationCall).
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationEvent {
    /// The retry budgets do not allow a restart.
    BudgetDenied {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The retry budgets allow a restart.
    BudgetGranted,
    /// The client closed its connection.
    ClientDisconnected,
    /// The connection to the engine failed.
    ConnectionFailed {
        /// Generation of the connection.
        generation: GenerationId,
        /// Point of the attempt at which it failed.
        point: FailurePoint,
    },
    /// The engine sent the end of the generation.
    GenerationEnded {
        /// Generation that ended.
        generation: GenerationId,
        /// Why it ended.
        reason: FinishReason,
        /// Tokens of the generation.
        tokens: u32,
    },
    /// The engine does not know the generation.
    GenerationNotFound {
        /// Generation that was requested.
        generation: GenerationId,
    },
    /// The engine did not start the generation because its id is in use.
    IdInUse {
        /// Generation that was requested.
        generation: GenerationId,
    },
    /// The engine's response violates its protocol.
    MalformedResponse {
        /// Generation of the connection.
        generation: GenerationId,
    },
    /// The engine said that it did not run the request.
    NotRun {
        /// Generation that was requested.
        generation: GenerationId,
    },
    /// A permit was granted.
    PermitGranted {
        /// Id for the new generation.
        generation: GenerationId,
        /// Stall timeouts of the permit's endpoint.
        stall_timeouts: StallTimeouts,
    },
    /// The request for a permit was refused.
    PermitRefused(Refusal),
    /// The shard owner revoked the permit.
    PermitRevoked,
    /// The engine responded with an error status that does not show whether the request ran.
    Rejected {
        /// Generation that was requested.
        generation: GenerationId,
        /// HTTP status.
        status: u16,
    },
    /// A resume failed while the silent stream of the generation is still open.
    ResumeFailed {
        /// Generation that was to be resumed.
        generation: GenerationId,
    },
    /// The engine reported the status of the generation.
    Status {
        /// Generation that the status is about.
        generation: GenerationId,
        /// Status as reported.
        status: GenerationStatus,
    },
    /// The engine's stream began.
    StreamOpened {
        /// Generation of the stream.
        generation: GenerationId,
    },
    /// A timer fired; the current time may have passed a timeout.
    Tick,
    /// A token was received.
    Token {
        /// Generation of the token.
        generation: GenerationId,
        /// Position of the token, from 0.
        index: u32,
    },
}

impl GenerationEvent {
    /// Generation whose engine or connection the event is from.
    pub(crate) fn generation(&self) -> Option<GenerationId> {
        match self {
            Self::BudgetDenied { .. }
            | Self::BudgetGranted
            | Self::ClientDisconnected
            | Self::PermitGranted { .. }
            | Self::PermitRefused(_)
            | Self::PermitRevoked
            | Self::Tick => None,
            Self::ConnectionFailed { generation, .. }
            | Self::GenerationEnded { generation, .. }
            | Self::GenerationNotFound { generation }
            | Self::IdInUse { generation }
            | Self::MalformedResponse { generation }
            | Self::NotRun { generation }
            | Self::Rejected { generation, .. }
            | Self::ResumeFailed { generation }
            | Self::Status { generation, .. }
            | Self::StreamOpened { generation }
            | Self::Token { generation, .. } => Some(*generation),
        }
    }
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum FinishReason {
    /// It was cancelled.
    Cancelled,
    /// It reached its limit on tokens.
    Length,
    /// The model ended it.
    Stop,
}

/// Status of a generation in its engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationStatus {
    /// Its memory was given to other generations; it waits to be scheduled again.
    Preempted,
    /// The engine prefills its prompt.
    Prefill,
    /// The engine decodes its tokens.
    Running,
    /// It waits in the engine's queue.
    Waiting,
}
