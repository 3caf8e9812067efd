use crate::number::{real, whole};

/// Seconds of the allowed rate that may be taken at once.
const BURST_S: f64 = 10.0;

const US_PER_S: f64 = 1e6;

/// Rate limit that allows debts, which are paid back before more is allowed.
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

    /// Changes the rate and keeps what was taken.
    pub(crate) fn set_rate(&mut self, now_us: u64, tokens_per_second: f64) {
        self.refill(now_us);
        self.tokens_per_second = tokens_per_second;
        self.level_tokens = self.level_tokens.min(tokens_per_second * BURST_S);
    }

    /// Takes tokens, or gives them back if negative.
    pub(crate) fn take(&mut self, now_us: u64, tokens: f64) {
        self.refill(now_us);
        let full = self.tokens_per_second * BURST_S;
        self.level_tokens = (self.level_tokens - tokens).min(full);
    }

    /// When the debt is paid back; now if there is none.
    pub(crate) fn ready_us(&self, now_us: u64) -> u64 {
        let elapsed_s = real(now_us - self.updated_us) / US_PER_S;
        let level = self.level_tokens + elapsed_s * self.tokens_per_second;
        if level >= 0.0 && self.tokens_per_second > 0.0 {
            return now_us;
        }
        if self.tokens_per_second <= 0.0 {
            return u64::MAX;
        }
        let wait_us = -level / self.tokens_per_second * US_PER_S;
        now_us.saturating_add(whole(wait_us) + 1)
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_s = real(now_us - self.updated_us) / US_PER_S;
        let full = self.tokens_per_second * BURST_S;
        self.level_tokens = (self.level_tokens + elapsed_s * self.tokens_per_second).min(full);
        self.updated_us = now_us;
    }
}
