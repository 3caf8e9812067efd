use std::collections::VecDeque;

/// Limits on retries of requests to one service, over a sliding window.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Retries allowed per request, in thousandths.
    pub ratio_thousandths: u64,
    /// Retries allowed in addition to the ratio, for all instances together.
    pub slack_retries: u64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Percentage of its own limit that an instance may use whatever the other instances use.
const OWN_LIMIT_PERCENT: u64 = 80;

/// Percentage of the limit of all instances up to which retries are allowed by the last reported
/// counts. The rest covers retries of the others since their report.
const SHARED_LIMIT_PERCENT: u64 = 70;

/// Requests and retries of one service within the window.
#[derive(Debug, Clone, Copy, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Requests of clients.
    pub requests: u64,
    /// Attempts beyond the first of each request.
    pub retries: u64,
}

/// Retry budget of one service at one instance.
///
/// When an engine leaves, all instances migrate its generations at once, and each migration counts
/// as a retry. An instance may use the ratio of its own requests and an equal share of the slack.
/// Beyond that it may use the budget that the other instances leave, while the sum stays well below
/// the limits.
#[derive(Debug, Default)]
pub struct RetryBudget {
    other_instances: RequestCounts,
    request_times_ms: VecDeque<u64>,
    retry_times_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Counts a request of a client.
    pub fn record_request(&mut self, now_ms: u64, limits: &RetryLimits) {
        self.request_times_ms.push_back(now_ms);
        remove_expired(&mut self.request_times_ms, now_ms, limits.window_ms);
    }

    /// Sets the sum of the counts that the other instances reported.
    pub fn set_other_instances(&mut self, counts: RequestCounts) {
        self.other_instances = counts;
    }

    /// Counts of this instance within the window.
    pub fn counts(&mut self, now_ms: u64, limits: &RetryLimits) -> RequestCounts {
        remove_expired(&mut self.request_times_ms, now_ms, limits.window_ms);
        remove_expired(&mut self.retry_times_ms, now_ms, limits.window_ms);
        RequestCounts {
            requests: self.request_times_ms.len() as u64,
            retries: self.retry_times_ms.len() as u64,
        }
    }

    /// Counts one retry if the limits allow it; returns whether they do.
    pub fn try_retry(&mut self, now_ms: u64, limits: &RetryLimits, instances: u32) -> bool {
        let own = self.counts(now_ms, limits);
        let own_slack_thousandths = limits.slack_retries * 1_000 / u64::from(instances.max(1));
        let own_limit_thousandths = own.requests * limits.ratio_thousandths + own_slack_thousandths;
        let requests = own.requests + self.other_instances.requests;
        let shared_limit_thousandths =
            requests * limits.ratio_thousandths + limits.slack_retries * 1_000;
        let is_within = |retries: u64, limit_thousandths: u64, percent: u64| {
            (retries + 1) * 100_000 <= limit_thousandths * percent
        };
        let is_allowed = is_within(own.retries, own_limit_thousandths, OWN_LIMIT_PERCENT)
            || is_within(
                own.retries + self.other_instances.retries,
                shared_limit_thousandths,
                SHARED_LIMIT_PERCENT,
            );
        if is_allowed {
            self.retry_times_ms.push_back(now_ms);
        }
        is_allowed
    }
}

fn remove_expired(times_ms: &mut VecDeque<u64>, now_ms: u64, window_ms: u64) {
    let is_expired = |time_ms: &mut u64| *time_ms + window_ms <= now_ms;
    while times_ms.pop_front_if(is_expired).is_some() {}
}
