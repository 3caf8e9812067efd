use serde::{Deserialize, Serialize};

use crate::StoredOutcome;

/// Answer to a command.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// To [`Command::Abandon`](crate::Command::Abandon).
    Abandon {
        /// Number of claims that became unknown.
        claims: u64,
    },
    /// To [`Command::Claim`](crate::Command::Claim).
    Claim(ClaimAnswer),
    /// To [`Command::Finish`](crate::Command::Finish) and [`Command::Release`](crate::Command::Release).
    Settle(SettleAnswer),
}

/// Answer to a claim.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The claimant's run is over by the log; nothing may run.
    Fenced,
    /// The call ran and ended so.
    Finished(StoredOutcome),
    /// A bound is reached; nothing ran.
    Full {
        /// Time until a settled claim expires, where one is held.
        retry_after_ms: Option<u64>,
    },
    /// The attempt may run the call. Repeated to the same attempt, which must run it only once.
    Granted,
    /// Another attempt holds the claim.
    InProgress,
    /// The key belongs to another request.
    Mismatch,
    /// Whether the call ran is unknown; it is not run again.
    Unknown,
}

/// Answer to the end of a claim.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum SettleAnswer {
    /// The attempt does not hold the claim; nothing changed.
    NotHolder,
    /// The end is recorded, now or by an earlier copy of the command.
    Recorded,
}
