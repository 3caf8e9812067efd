//! Decides which runs are taken off an endpoint that leaves.
//!
//! Pattern: engines leave seconds after their notice while long answers run on them. Each run is
//! copied while it goes on, and goes on at the copy as soon as that is made: the few tokens that
//! were generated meanwhile are read again there, which takes one step of the engine. A last copy of
//! them would queue behind the copies of all other runs on the engine's link, with the run stopped.

/// Tokens that a run makes in a second beside some others; engines take 7 ms and more a token.
const TOKENS_PER_S: u64 = 110;

/// Runs that are predicted to end within this time are left to end.
const ENDS_SOON_MS: u64 = 250;

/// Whether a run is left to end where it is.
#[must_use]
pub fn ends_soon(tokens_left: u64) -> bool {
    tokens_left * 1_000 / TOKENS_PER_S <= ENDS_SOON_MS
}
