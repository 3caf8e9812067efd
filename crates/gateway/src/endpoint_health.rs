use std::collections::VecDeque;

/// Time for which an outcome counts.
const WINDOW_MS: u64 = 4_000;

/// Failures below which an endpoint is never ejected: healthy endpoints have single failures.
const FAILURES_MIN: u32 = 3;

/// Share of failed requests from which an endpoint is ejected. Healthy endpoints fail up to a
/// seventh of some kinds of request.
const FAILED_PERCENT: u32 = 40;

/// Time for which a failing endpoint is ejected before it receives requests again.
const EJECTION_MS: u64 = 2_500;

/// First ejection time of an endpoint that accepts no connections. It doubles with each further
/// connection failure in a row.
const UNREACHABLE_EJECTION_MS_MIN: u64 = 300;

/// Longest ejection time of an endpoint that accepts no connections.
const UNREACHABLE_EJECTION_MS_MAX: u64 = 2_400;

/// Recent outcomes of requests at one endpoint, and whether it is ejected because of them.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    ejected_until_ms: u64,
    failures: RecentTimes,
    successes: RecentTimes,
    unreachable_ejection_ms: u64,
}

/// Times of events within the last `WINDOW_MS`.
#[derive(Debug, Default)]
struct RecentTimes {
    times_ms: VecDeque<u64>,
}

impl EndpointHealth {
    /// Counts a request that the endpoint served.
    pub fn record_success(&mut self, now_ms: u64) {
        self.successes.record(now_ms);
        self.unreachable_ejection_ms = 0;
    }

    /// Counts a request that failed at the endpoint.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures.record(now_ms);
    }

    /// Ejects the endpoint after a connection could not be opened.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.unreachable_ejection_ms = (self.unreachable_ejection_ms * 2)
            .clamp(UNREACHABLE_EJECTION_MS_MIN, UNREACHABLE_EJECTION_MS_MAX);
        self.ejected_until_ms = now_ms + self.unreachable_ejection_ms;
    }

    /// Recent failures and successes at this instance, in this order.
    pub fn recent_counts(&mut self, now_ms: u64) -> (u32, u32) {
        (self.failures.count(now_ms), self.successes.count(now_ms))
    }

    /// Ejects the endpoint if too many requests failed; the counts are those of all instances.
    pub fn apply_counts(&mut self, now_ms: u64, failures: u32, successes: u32) {
        let is_failing =
            failures >= FAILURES_MIN && failures * 100 >= (failures + successes) * FAILED_PERCENT;
        if is_failing && !self.is_ejected(now_ms) {
            self.ejected_until_ms = now_ms + EJECTION_MS;
        }
    }

    /// Whether requests should go to other endpoints.
    #[must_use]
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}

impl RecentTimes {
    fn record(&mut self, now_ms: u64) {
        self.times_ms.push_back(now_ms);
        self.remove_expired(now_ms);
    }

    fn count(&mut self, now_ms: u64) -> u32 {
        self.remove_expired(now_ms);
        u32::try_from(self.times_ms.len()).unwrap_or(u32::MAX)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_expired = |time_ms: &mut u64| *time_ms + WINDOW_MS <= now_ms;
        while self.times_ms.pop_front_if(is_expired).is_some() {}
    }
}
