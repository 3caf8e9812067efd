use serde::{Deserialize, Serialize};

use crate::{Attempt, ClaimKey, Claimant, RequestDigest, StoredOutcome};

/// What the log tells the claims.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// A run of an instance, and every earlier one, is over; what it had in progress is unknown.
    Abandon {
        /// The run that is over.
        claimant: Claimant,
    },
    /// A request asks to run.
    Claim {
        /// Who asks.
        attempt: Attempt,
        /// What it wants to run.
        digest: RequestDigest,
        /// Under which key.
        key: ClaimKey,
    },
    /// The call ended.
    Finish {
        /// Who ran it.
        attempt: Attempt,
        /// Under which key.
        key: ClaimKey,
        /// How it ended.
        outcome: StoredOutcome,
    },
    /// The call may have run, and its outcome is lost.
    MarkUnknown {
        /// Who ran it.
        attempt: Attempt,
        /// Under which key.
        key: ClaimKey,
    },
    /// Nothing was sent, and nothing will be.
    Release {
        /// Who held the claim.
        attempt: Attempt,
        /// Under which key.
        key: ClaimKey,
    },
}
