use std::collections::VecDeque;

/// Limits on requests that are sent to endpoints again, over a sliding window.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Repeats allowed per request, in thousandths.
    pub ratio_thousandths: u64,
    /// Repeats allowed besides, over all instances.
    pub slack: u64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Part of the limits that one instance keeps for itself, in percent: room for what differs
/// between the windows of the instances.
const OWN_PERCENT: u64 = 70;

/// Times of the latest requests and repeats of one service at one instance.
///
/// Every instance keeps the ratio by its own requests and an equal part of the slack, so that the
/// sum over all keeps the limits of the service without any message.
#[derive(Debug, Default)]
pub struct RetryBudget {
    repeats_ms: VecDeque<u64>,
    requests_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Counts a request of a client.
    pub fn note_request(&mut self, now_ms: u64, limits: &RetryLimits) {
        self.requests_ms.push_back(now_ms);
        forget(&mut self.requests_ms, now_ms, limits.window_ms);
    }

    /// Takes one repeat, if the limits allow it.
    pub fn take(&mut self, now_ms: u64, limits: &RetryLimits, instances: u32) -> bool {
        forget(&mut self.requests_ms, now_ms, limits.window_ms);
        forget(&mut self.repeats_ms, now_ms, limits.window_ms);
        let requests = self.requests_ms.len() as u64;
        let by_ratio = requests * limits.ratio_thousandths;
        let by_slack = limits.slack * 1_000 / u64::from(instances.max(1));
        let allowed = (by_ratio + by_slack) * OWN_PERCENT / 100_000;
        let is_allowed = (self.repeats_ms.len() as u64) < allowed;
        if is_allowed {
            self.repeats_ms.push_back(now_ms);
        }
        is_allowed
    }
}

fn forget(times_ms: &mut VecDeque<u64>, now_ms: u64, window_ms: u64) {
    while times_ms
        .front()
        .is_some_and(|at_ms| at_ms + window_ms <= now_ms)
    {
        times_ms.pop_front();
    }
}
