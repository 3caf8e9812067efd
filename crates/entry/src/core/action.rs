use names::GenerationId;

use super::{FinishReason, Outcome};
use crate::dependencies::{PermitEnd, Refusal};

/// What the driver of a generation call must do.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationAction {
    /// Ask for a permit; the answer is `Granted` or `Refused`.
    AcquirePermit,
    /// Ask the budgets for a restart; the answer is `BudgetGranted` or `BudgetDenied`.
    RequestRetry,
    /// Cancel the generation on its engine.
    Cancel {
        /// The generation.
        generation: GenerationId,
    },
    /// Give the caller the end of the answer.
    Complete {
        /// Why the generation ended.
        end: FinishReason,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// Give the caller a token.
    Deliver {
        /// The generation.
        generation: GenerationId,
        /// Position of the token.
        index: u32,
    },
    /// Forget the tokens held for a whole answer.
    DiscardTokens,
    /// Close the link to the engine and ignore what is still in it.
    CloseConnection,
    /// Give the caller a final error.
    Fail(Failure),
    /// Give the caller a final refusal; nothing ran.
    Refuse(Refusal),
    /// End the use of the permit.
    ReleasePermit {
        /// How.
        end: PermitEnd,
        /// Tokens generated.
        tokens: u32,
    },
    /// Stream the generation again.
    Resume {
        /// First token wanted.
        from: u32,
        /// The generation.
        generation: GenerationId,
    },
    /// Start the generation with the permit.
    Start {
        /// The generation.
        generation: GenerationId,
    },
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The deadline passed.
    Deadline,
    /// The engine cancelled or forgot the generation.
    GenerationLost,
    /// The link to the endpoint failed.
    ConnectionFailed,
    /// The endpoint sent what the interface does not allow.
    Malformed,
    /// The endpoint rejected the request.
    Rejected,
    /// The endpoint or its link stalled.
    Stalled,
}

impl Cause {
    /// Text for callers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::GenerationLost => "generation-lost",
            Self::ConnectionFailed => "link-failed",
            Self::Malformed => "malformed-answer",
            Self::Rejected => "rejected",
            Self::Stalled => "stalled",
        }
    }
}

/// A final error.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Failure {
    /// Why.
    pub cause: Cause,
    /// Tokens that reached the caller.
    pub delivered_tokens: u32,
    /// What is known about the running of the request.
    pub outcome: Outcome,
    /// When a repeat may succeed.
    pub retry_after_ms: u64,
}
