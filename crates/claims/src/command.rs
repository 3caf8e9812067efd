use serde::{Deserialize, Serialize};

use crate::{Attempt, ClaimKey, Claimant, RequestDigest, StoredOutcome};

/// Command of the replicated log that changes the claims.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// The process of an instance has ended, and so have the earlier ones.
    ///
    /// Their claims in progress become unknown, and their later claims are fenced.
    Abandon {
        /// The ended process.
        claimant: Claimant,
    },
    /// An attempt requests to run a call.
    Claim {
        /// Attempt that requests the claim.
        attempt: Attempt,
        /// Digest of the request to run.
        digest: RequestDigest,
        /// Key of the claim.
        key: ClaimKey,
    },
    /// The call ended with a known outcome.
    Finish {
        /// Attempt that ran the call.
        attempt: Attempt,
        /// Key of the claim.
        key: ClaimKey,
        /// Outcome to store for repeats.
        outcome: StoredOutcome,
    },
    /// The call may have run, but its outcome is lost.
    MarkUnknown {
        /// Attempt that ran the call.
        attempt: Attempt,
        /// Key of the claim.
        key: ClaimKey,
    },
    /// The call was not sent and will not be sent, so the key becomes free.
    Release {
        /// Attempt that the claim was granted to.
        attempt: Attempt,
        /// Key of the claim.
        key: ClaimKey,
    },
}
