use std::collections::VecDeque;

/// Time for which an outcome counts.
const WINDOW_MS: u64 = 4_000;

/// Failures below which an endpoint is never avoided: single ones are expected of sound endpoints.
const FAILURES_MIN: u32 = 3;

/// Share of failed requests from which an endpoint is avoided, in percent. Sound endpoints fail up
/// to a seventh of some kinds of request.
const FAILED_PERCENT: u32 = 40;

/// Time for which an endpoint is avoided, before requests try it again.
const AVOIDED_MS: u64 = 2_500;

/// Time for which an endpoint is avoided that takes no connections; doubled each time in a row.
const UNREACHABLE_MS: u64 = 300;

/// Longest time for which an endpoint without connections is avoided.
const UNREACHABLE_MS_MAX: u64 = 2_400;

/// Outcomes of requests at one endpoint.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    avoided_until_ms: u64,
    failures: Recent,
    successes: Recent,
    unreachable_ms: u64,
}

/// Times of late events.
#[derive(Debug, Default)]
struct Recent {
    at_ms: VecDeque<u64>,
}

impl EndpointHealth {
    /// Counts a request that the endpoint answered well.
    pub fn record_success(&mut self, now_ms: u64) {
        self.successes.note(now_ms);
        self.unreachable_ms = 0;
    }

    /// Counts a request that the endpoint failed.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures.note(now_ms);
    }

    /// Counts a connection that could not be opened.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.unreachable_ms = (self.unreachable_ms * 2).clamp(UNREACHABLE_MS, UNREACHABLE_MS_MAX);
        self.avoided_until_ms = now_ms + self.unreachable_ms;
    }

    /// Failures and successes of late, at this instance.
    pub fn recent_counts(&mut self, now_ms: u64) -> (u32, u32) {
        (self.failures.count(now_ms), self.successes.count(now_ms))
    }

    /// Judges the counts of all instances.
    pub fn apply_recent_counts(&mut self, now_ms: u64, failures: u32, successes: u32) {
        let is_failing =
            failures >= FAILURES_MIN && failures * 100 >= (failures + successes) * FAILED_PERCENT;
        if is_failing && !self.is_ejected(now_ms) {
            self.avoided_until_ms = now_ms + AVOIDED_MS;
        }
    }

    /// Whether requests are to go elsewhere.
    #[must_use]
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }
}

impl Recent {
    fn note(&mut self, now_ms: u64) {
        self.at_ms.push_back(now_ms);
        self.forget(now_ms);
    }

    fn count(&mut self, now_ms: u64) -> u32 {
        self.forget(now_ms);
        u32::try_from(self.at_ms.len()).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, now_ms: u64) {
        let is_old = |at_ms: &mut u64| *at_ms + WINDOW_MS <= now_ms;
        while self.at_ms.pop_front_if(is_old).is_some() {}
    }
}
