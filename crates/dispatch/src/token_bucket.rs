use crate::number::{to_f64, to_u64};

/// Capacity of the bucket, in seconds of the allowed rate.
const BURST_S: f64 = 10.0;

const US_PER_S: f64 = 1e6;

/// Rate limit whose level may become negative. Nothing more is allowed until it is refilled to 0.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    level_tokens: f64,
    tokens_per_second: f64,
    updated_us: u64,
}

impl TokenBucket {
    pub(crate) fn new(now_us: u64, tokens_per_second: f64) -> Self {
        Self {
            level_tokens: tokens_per_second * BURST_S,
            tokens_per_second,
            updated_us: now_us,
        }
    }

    /// Changes the rate and keeps the level, up to the new capacity.
    pub(crate) fn set_rate(&mut self, now_us: u64, tokens_per_second: f64) {
        self.refill(now_us);
        self.tokens_per_second = tokens_per_second;
        self.level_tokens = self.level_tokens.min(tokens_per_second * BURST_S);
    }

    /// Takes tokens from the bucket, or returns them if negative.
    pub(crate) fn take(&mut self, now_us: u64, tokens: f64) {
        self.refill(now_us);
        let capacity_tokens = self.tokens_per_second * BURST_S;
        self.level_tokens = (self.level_tokens - tokens).min(capacity_tokens);
    }

    /// Time at which the level is no longer negative: now or later, `u64::MAX` if the rate is 0.
    pub(crate) fn ready_us(&self, now_us: u64) -> u64 {
        let elapsed_s = to_f64(now_us - self.updated_us) / US_PER_S;
        let level_tokens = self.level_tokens + elapsed_s * self.tokens_per_second;
        if level_tokens >= 0.0 && self.tokens_per_second > 0.0 {
            return now_us;
        }
        if self.tokens_per_second <= 0.0 {
            return u64::MAX;
        }
        let wait_us = -level_tokens / self.tokens_per_second * US_PER_S;
        now_us.saturating_add(to_u64(wait_us) + 1)
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_s = to_f64(now_us - self.updated_us) / US_PER_S;
        let capacity_tokens = self.tokens_per_second * BURST_S;
        self.level_tokens =
            (self.level_tokens + elapsed_s * self.tokens_per_second).min(capacity_tokens);
        self.updated_us = now_us;
    }
}
