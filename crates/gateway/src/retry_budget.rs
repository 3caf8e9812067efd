use std::collections::VecDeque;

/// Limits on requests that are sent to endpoints again, over a sliding window.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Repeats allowed per request, in thousandths.
    pub ratio_thousandths: u64,
    /// Repeats allowed besides, over all instances.
    pub slack_retries: u64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Part of the limits that one instance may use without knowing of the others, in percent.
const OWN_PERCENT: u64 = 80;

/// Part of the limits of all instances that may be used by what the others last reported, in
/// percent. The rest is for what they have sent since.
const SHARED_PERCENT: u64 = 70;

/// Requests and repeats of one service within the window.
#[derive(Debug, Clone, Copy, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Sendings beyond the first of each request.
    pub retries: u64,
    /// Requests of clients.
    pub requests: u64,
}

/// Times of the latest requests and repeats of one service at one instance.
///
/// Pattern: an engine leaves, and the instances that happen to serve its runs all move them at
/// once. An instance keeps the ratio by its own requests and an equal part of the slack; beyond
/// that it may use what the others leave, as long as the sum lies well below the limits.
#[derive(Debug, Default)]
pub struct RetryBudget {
    other_instances: RequestCounts,
    repeats_ms: VecDeque<u64>,
    requests_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Counts a request of a client.
    pub fn record_request(&mut self, now_ms: u64, limits: &RetryLimits) {
        self.requests_ms.push_back(now_ms);
        forget(&mut self.requests_ms, now_ms, limits.window_ms);
    }

    /// Takes what the other instances reported.
    pub fn set_other_instances(&mut self, other_instances: RequestCounts) {
        self.other_instances = other_instances;
    }

    /// What this instance has sent within the window.
    pub fn counts(&mut self, now_ms: u64, limits: &RetryLimits) -> RequestCounts {
        forget(&mut self.requests_ms, now_ms, limits.window_ms);
        forget(&mut self.repeats_ms, now_ms, limits.window_ms);
        RequestCounts {
            retries: self.repeats_ms.len() as u64,
            requests: self.requests_ms.len() as u64,
        }
    }

    /// Takes one repeat, if the limits allow it.
    pub fn try_retry(&mut self, now_ms: u64, limits: &RetryLimits, instances: u32) -> bool {
        let own = self.counts(now_ms, limits);
        let own_slack = limits.slack_retries * 1_000 / u64::from(instances.max(1));
        let own_limit = own.requests * limits.ratio_thousandths + own_slack;
        let requests = own.requests + self.other_instances.requests;
        let shared_limit = requests * limits.ratio_thousandths + limits.slack_retries * 1_000;
        let is_within = |retries: u64, limit_thousandths: u64, percent: u64| {
            (retries + 1) * 100_000 <= limit_thousandths * percent
        };
        let is_allowed = is_within(own.retries, own_limit, OWN_PERCENT)
            || is_within(
                own.retries + self.other_instances.retries,
                shared_limit,
                SHARED_PERCENT,
            );
        if is_allowed {
            self.repeats_ms.push_back(now_ms);
        }
        is_allowed
    }
}

fn forget(times_ms: &mut VecDeque<u64>, now_ms: u64, window_ms: u64) {
    let is_old = |at_ms: &mut u64| *at_ms + window_ms <= now_ms;
    while times_ms.pop_front_if(is_old).is_some() {}
}
