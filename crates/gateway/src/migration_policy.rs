//! Decides which runs are taken off an endpoint that leaves.
//!
//! Pattern: engines leave seconds after their notice while long answers run on them. Each run is
//! copied while it goes on, and goes on at the copy as soon as that is made: the few tokens that
//! were generated meanwhile are read again there, which takes one step of the engine. A last copy of
//! them would queue behind the copies of all other runs on the engine's link, with the run stopped.
//! A run that has waited long for its copy is copied once more instead, still without being stopped:
//! what several runs lack is otherwise read one after the other where they arrive.

/// Tokens that a run makes in a second beside some others; engines take 7 ms and more a token.
const TOKENS_PER_S: u64 = 110;

/// Runs that are predicted to end within this time are left to end.
const ENDS_SOON_MS: u64 = 250;

/// Whether a run is left to end where it is.
#[must_use]
pub fn is_nearly_complete(tokens_left: u64) -> bool {
    tokens_left * 1_000 / TOKENS_PER_S <= ENDS_SOON_MS
}

/// Time of a copy from which what was generated meanwhile takes more than a step to read.
const COPIED_AGAIN_MS_MIN: u64 = 400;

/// Time after which no further copy is begun, as the engine may leave before it is made.
const COPIED_AGAIN_MS_MAX: u64 = 1_150;

/// Whether a run whose first copy took so long is copied once more before it goes on there.
#[must_use]
pub fn needs_second_copy(copy_ms: u64) -> bool {
    (COPIED_AGAIN_MS_MIN..COPIED_AGAIN_MS_MAX).contains(&copy_ms)
}
