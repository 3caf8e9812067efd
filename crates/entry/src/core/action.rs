use names::GenerationId;

use super::{FinishReason, Outcome};
use crate::dependencies::{PermitEnd, Refusal};

/// Action that the HTTP modules perform for a [`GenerationCall`](super::GenerationCall).
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationAction {
    /// Give up the resume that is being opened, and go on with the silent stream.
    AbandonResume,
    /// Request a permit; answered by `PermitGranted` or `PermitRefused`.
    AcquirePermit,
    /// Cancel the generation on its engine.
    Cancel {
        /// Generation to cancel.
        generation: GenerationId,
    },
    /// Close the connections to the engine and ignore what they still hold.
    CloseConnection,
    /// Close the silent stream, which has failed while a resume is being opened.
    CloseSilentStream,
    /// Complete the response to the client.
    Complete {
        /// Why the generation ended.
        reason: FinishReason,
        /// Tokens of the response.
        tokens: u32,
    },
    /// Send a token to the client, or add it to a buffered response.
    Deliver {
        /// Generation of the token.
        generation: GenerationId,
        /// Position of the token, from 0.
        index: u32,
    },
    /// Discard the tokens of a buffered response.
    DiscardTokens,
    /// Send the client a final error.
    Fail(CallFailure),
    /// Keep the running generation with its connection and permit, while another one is sought.
    Keep {
        /// Generation to keep.
        generation: GenerationId,
        /// Whether it has stalled; if not, its permit was revoked.
        has_stalled: bool,
    },
    /// Send the client a final refusal; nothing ran.
    Refuse(Refusal),
    /// Run a kept generation again, in place of the permit and connection in use.
    Reinstate {
        /// Generation that was kept.
        generation: GenerationId,
    },
    /// Release the permit.
    ReleasePermit {
        /// How the use of the permit ended.
        end: PermitEnd,
        /// Generated tokens.
        tokens: u32,
    },
    /// Withdraw a retry from the retry budgets; answered by `BudgetGranted` or `BudgetDenied`.
    RequestRetry,
    /// Open the stream of the running generation again, beside the present one if that is open.
    Resume {
        /// Index of the first token to send.
        from: u32,
        /// Generation to resume.
        generation: GenerationId,
    },
    /// Start a generation on the permit's endpoint.
    Start {
        /// Id of the new generation.
        generation: GenerationId,
    },
    /// Close the connection of a kept generation and release its permit.
    StopKept {
        /// How the use of the permit ended.
        end: PermitEnd,
        /// Generation that was kept.
        generation: GenerationId,
        /// Generated tokens.
        tokens: u32,
    },
}

/// Why a generation or service call failed.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureCause {
    /// The deadline passed.
    Deadline,
    /// The engine cancelled the generation or does not know it.
    GenerationLost,
    /// The connection to the endpoint failed.
    ConnectionFailed,
    /// The endpoint's response violates its protocol.
    Malformed,
    /// The endpoint rejected the request.
    Rejected,
    /// The endpoint or the connection to it stalled.
    Stalled,
}

impl FailureCause {
    /// Text for problem documents and logs.
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

/// Final error of a generation or service call, as sent to the client.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct CallFailure {
    /// Why the call failed.
    pub cause: FailureCause,
    /// Tokens that were sent to the client.
    pub delivered_tokens: u32,
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// Time after which a retry may succeed.
    pub retry_after_ms: u64,
}
