//! At-most-once claims and their stored outcomes.
//!
//! A call that may not be repeated is claimed before it is dispatched and finished afterwards. The
//! [`Claims`] are a deterministic state machine fed from the replicated log, so that a repeat of the
//! call at any instance finds the same answer:
//!
//! | state | a repeat with the same request | a repeat with another request |
//! |---|---|---|
//! | none | granted: runs | granted: runs |
//! | in progress | in progress | mismatch |
//! | finished | the stored outcome | mismatch |
//! | unknown | unknown, never run again | mismatch |
//!
//! A claim whose instance died becomes unknown, since the call may have run. It is released only by
//! a claimant that is certain that nothing was sent.
//!
//! A settled claim is kept for its whole retention. Room for the largest outcome is reserved with
//! each claim, and where a bound is reached new claims are refused; nothing is forgotten early.
//! Time is counted from the stamps of log entries, a step forward as at most
//! [`CLOCK_STEP_MS_MAX`](names::CLOCK_STEP_MS_MAX): a leader whose clock is a day ahead must not end every retention.
//! A claim in progress has no retention: it stays until it is finished, released or abandoned.
//!
//! Claims are held in a `BTreeMap` rather than a sorted vector, since keys arrive in random order and
//! an insertion into a large vector would move all that follows.

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

/// Longest body that is stored with an outcome.
pub const STORED_BODY_BYTES_MAX: usize = 8 * 1024;

/// Most bytes of header names and values that are stored with an outcome.
pub const STORED_HEADERS_BYTES_MAX: usize = 1024;

/// Longest idempotency key.
pub const IDEMPOTENCY_KEY_BYTES_MAX: usize = 255;
