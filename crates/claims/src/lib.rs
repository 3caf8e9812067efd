//! At-most-once execution of calls with an idempotency key.
//!
//! A call is claimed before it is dispatched, and its outcome is stored afterwards. [`Claims`] is a
//! deterministic state machine that applies the replicated log, so a repeat of the call gets the same
//! answer at every instance:
//!
//! | state of the key | repeat of the same request | another request with the key |
//! |---|---|---|
//! | none | granted: the call runs | granted: the call runs |
//! | in progress | in progress | mismatch |
//! | finished | stored outcome | mismatch |
//! | unknown | unknown: the call never runs again | mismatch |
//!
//! If an instance dies, its claims in progress become unknown, since the calls may have run. A claim
//! is released only by a claimant that is certain that it sent nothing.
//!
//! A claim in progress does not expire: it stays until it is finished, marked unknown, released or
//! abandoned. A finished or unknown claim is called settled and is kept for the whole retention.
//! Space for the largest outcome is reserved with each claim. At a limit, new claims are refused, and
//! no claim is dropped early.
//!
//! Time is counted from the timestamps of log entries, a step forward as at most
//! [`CLOCK_STEP_MS_MAX`](names::CLOCK_STEP_MS_MAX), so that a leader whose clock is a day ahead does
//! not end every retention.
//!
//! Claims are stored in a `BTreeMap` instead of a sorted vector: keys arrive in random order, and an
//! insertion into a large vector would move all following elements.

mod answer;
mod claim_key;
mod claim_limits;
mod claims;
mod command;
mod error;
mod memory_usage;
mod outcome;
mod settled_claims;

pub use answer::{Answer, ClaimAnswer, SettleAnswer};
pub use claim_key::{Attempt, ClaimKey, Claimant, IdempotencyKey, RequestDigest};
pub use claim_limits::ClaimLimits;
pub use claims::Claims;
pub use command::Command;
pub use error::Error;
pub use outcome::{StoredBody, StoredHeader, StoredOutcome};

/// Longest idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_BYTES_MAX: usize = 255;

/// Longest body that is stored with an outcome; a longer one is omitted.
pub const STORED_BODY_BYTES_MAX: usize = 8 * 1024;

/// Most bytes of header names and values that are stored with an outcome.
pub const STORED_HEADERS_BYTES_MAX: usize = 1024;
