//! Plans the copies that take running requests off an endpoint that leaves.
//!
//! Pattern: engines leave seconds after their notice while long answers run on them. Each run is
//! copied once while it goes on, then stopped and copied again, which moves only what is new. The
//! stop waits until the first copies of all runs there have passed the engine's link, as a stopped
//! run would otherwise queue behind them.

/// Time from a notice after which the runs are stopped at the latest; engines leave 1.5 s and
/// more after it.
const STOP_AFTER_MS_MAX: u64 = 1_150;

/// Room for what the estimate of the link's queue misses.
const QUEUE_SLACK_MS: u64 = 110;

/// Runs that are predicted to end within this time are left to end.
const ENDS_SOON_MS: u64 = 250;

/// What a run and the engine that it leaves look like.
#[derive(Debug, Clone, Copy)]
pub struct CopyPlan {
    /// Speed of the engine's link.
    pub link_mbps: f64,
    /// Tokens that the run still makes, as predicted.
    pub tokens_left: u64,
    /// Tokens of all runs on the engine.
    pub tokens_on_engine: u64,
    /// Memory of one token.
    pub token_bytes: u64,
    /// Tokens that a run makes in a second.
    pub tokens_per_s: u64,
}

/// Time from the notice at which the run is to be stopped; none where it is left to end.
#[must_use]
pub fn copy_plan(plan: &CopyPlan) -> Option<u64> {
    let left_ms = plan.tokens_left * 1_000 / plan.tokens_per_s.max(1);
    if left_ms <= ENDS_SOON_MS {
        return None;
    }
    let bits = plan.tokens_on_engine.saturating_mul(plan.token_bytes * 8);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an estimate of some hundred ms"
    )]
    let queue_ms = (bits as f64 / (plan.link_mbps.max(1.0) * 1_000.0)) as u64;
    Some((queue_ms + QUEUE_SLACK_MS).min(STOP_AFTER_MS_MAX))
}
