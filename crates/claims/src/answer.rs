use serde::{Deserialize, Serialize};

use crate::StoredOutcome;

/// Result of a [`Command`](crate::Command).
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Result of [`Command::Abandon`](crate::Command::Abandon).
    Abandon {
        /// Number of claims that became unknown.
        claims: u64,
    },
    /// Result of [`Command::Claim`](crate::Command::Claim).
    Claim(ClaimAnswer),
    /// Result of `Finish`, `MarkUnknown` and `Release`.
    Settle(SettleAnswer),
}

/// Result of claiming a call.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The claimant was abandoned; the call must not run.
    Fenced,
    /// The call has finished with this outcome.
    Finished(StoredOutcome),
    /// A limit is reached; the call must not run.
    Full {
        /// Time until the next settled claim expires; `None` without settled claims.
        retry_after_ms: Option<u64>,
    },
    /// The attempt may run the call. A resent claim of the same attempt gets this answer again, but the
    /// attempt must run the call only once.
    Granted,
    /// Another attempt has claimed the call and not settled it.
    InProgress,
    /// The key was claimed for a request with another digest.
    Mismatch,
    /// It is unknown whether the call ran; it must not run again.
    Unknown,
}

/// Result of settling or releasing a claim.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum SettleAnswer {
    /// The claim does not belong to the attempt; nothing changed.
    NotHolder,
    /// The command was applied, now or when it was first sent.
    Recorded,
}
