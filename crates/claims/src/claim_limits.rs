use serde::{Deserialize, Serialize};

/// Limits of a [`Claims`](crate::Claims) state machine; they must be equal on all voters.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimLimits {
    /// Most bytes of keys and outcomes, including space reserved for outcomes.
    pub bytes_max: usize,
    /// Most claims, in progress and settled.
    pub claims_max: usize,
    /// Most bytes of one customer's keys and outcomes, including space reserved for outcomes.
    pub customer_bytes_max: usize,
    /// Time for which a settled claim is kept.
    pub retention_ms: u64,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            bytes_max: 32 * 1024 * 1024,
            claims_max: 100_000,
            customer_bytes_max: 8 * 1024 * 1024,
            retention_ms: 24 * 60 * 60 * 1000,
        }
    }
}
