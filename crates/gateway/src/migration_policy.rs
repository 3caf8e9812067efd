//! Decides which generations are migrated off a leaving endpoint, and when they are copied twice.
//!
//! Engines leave seconds after their notice while long answers run on them. Each generation is
//! copied while it decodes and continues at the target once the copy is complete. The few tokens
//! decoded during the copy need one prefill step there. Pausing for a last copy of them would queue
//! the generation behind all other copies on the engine's link. After a slow copy, several
//! generations would prefill their missing tokens at the target one after the other, so such a
//! generation is copied a second time instead, also while it decodes.

/// Decode rate of a generation in a small batch; engines need 7 ms and more per token.
const TOKENS_PER_S: u64 = 110;

/// Predicted remaining time up to which a generation is not migrated.
const NEARLY_COMPLETE_MS: u64 = 250;

/// Whether a generation is left to end where it runs.
#[must_use]
pub fn is_nearly_complete(remaining_tokens: u64) -> bool {
    remaining_tokens * 1_000 / TOKENS_PER_S <= NEARLY_COMPLETE_MS
}

/// Duration of a first copy from which the tokens decoded during it need several prefill steps.
const FIRST_COPY_MS_MIN: u64 = 400;

/// Duration of a first copy from which the engine may leave before a second one is complete.
const FIRST_COPY_MS_MAX: u64 = 1_150;

/// Whether a generation is copied a second time before it continues at the target.
#[must_use]
pub fn needs_second_copy(first_copy_ms: u64) -> bool {
    (FIRST_COPY_MS_MIN..FIRST_COPY_MS_MAX).contains(&first_copy_ms)
}
