//! Counts the requests that were placed lately.

use std::collections::VecDeque;

/// Time over which the rate of requests is taken.
pub(super) const RATE_WINDOW_MS: usize = 3_000;

/// Times of the requests that this instance has placed of late.
#[derive(Debug, Default)]
pub(super) struct Placed(VecDeque<u64>);

impl Placed {
    pub(super) fn note(&mut self, now_ms: u64) {
        self.0.push_back(now_ms);
        self.count(now_ms);
    }

    pub(super) fn count(&mut self, now_ms: u64) -> usize {
        let is_old = |at_ms: &mut u64| *at_ms + (RATE_WINDOW_MS as u64) <= now_ms;
        while self.0.pop_front_if(is_old).is_some() {}
        self.0.len()
    }
}
