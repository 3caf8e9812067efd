use std::collections::VecDeque;

/// Time over which placed requests are counted.
pub(super) const RATE_WINDOW_MS: usize = 3_000;

/// Times of the requests that this instance placed within `RATE_WINDOW_MS`.
#[derive(Debug, Default)]
pub(super) struct RecentPlacements(VecDeque<u64>);

impl RecentPlacements {
    pub(super) fn record(&mut self, now_ms: u64) {
        self.0.push_back(now_ms);
        self.count(now_ms);
    }

    pub(super) fn count(&mut self, now_ms: u64) -> usize {
        let is_expired = |time_ms: &mut u64| *time_ms + (RATE_WINDOW_MS as u64) <= now_ms;
        while self.0.pop_front_if(is_expired).is_some() {}
        self.0.len()
    }
}
