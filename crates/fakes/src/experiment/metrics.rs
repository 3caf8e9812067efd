use hdrhistogram::Histogram;

use crate::experiment::draw::{whole, wide};

/// Gap between tokens from which on a caller is stalled.
const STALL_US: u64 = 200_000;
/// Goal for the first token.
const FIRST_TOKEN_GOAL_US: u64 = 310_000;
const HIGHEST_US: u64 = 3_600_000_000;

/// What callers saw in one run.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) across_bytes: u64,
    pub(crate) call_us: Histogram<u32>,
    pub(crate) completed: u64,
    pub(crate) first_us: Histogram<u32>,
    pub(crate) gap_us: Histogram<u32>,
    pub(crate) gave_up: u64,
    pub(crate) good_tokens: u64,
    pub(crate) late_first_us: u64,
    pub(crate) lost: u64,
    pub(crate) refused: u64,
    pub(crate) requests: u64,
    /// Requests asked for again after an endpoint failed or refused.
    pub(crate) retries: u64,
    /// One for each generation that began.
    pub(crate) stalls: Vec<Stall>,
}

/// Stall time of one generation.
#[derive(Debug)]
pub(crate) struct Stall {
    pub(crate) customer: usize,
    pub(crate) stall_us: u64,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, HIGHEST_US, 3).expect("valid bounds");
        Self {
            across_bytes: 0,
            call_us: histogram(),
            completed: 0,
            first_us: histogram(),
            gap_us: histogram(),
            gave_up: 0,
            good_tokens: 0,
            late_first_us: 0,
            lost: 0,
            refused: 0,
            requests: 0,
            retries: 0,
            stalls: Vec::new(),
        }
    }

    pub(crate) fn first_token(&mut self, waited_us: u64) {
        self.first_us.saturating_record(waited_us);
        self.late_first_us += waited_us.saturating_sub(FIRST_TOKEN_GOAL_US);
    }

    /// Counts a gap between tokens and returns the stall in it.
    pub(crate) fn gap(&mut self, gap_us: u64) -> u64 {
        self.gap_us.saturating_record(gap_us);
        gap_us.saturating_sub(STALL_US)
    }

    /// Stall time that this part of the generations does not exceed.
    pub(crate) fn stall_us(&self, part: f64, without: Option<usize>) -> u64 {
        let counted = self
            .stalls
            .iter()
            .filter(|stall| Some(stall.customer) != without);
        let mut sorted: Vec<u64> = counted.map(|stall| stall.stall_us).collect();
        sorted.sort_unstable();
        let position = whole(part * wide(sorted.len()), 0, u32::MAX) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(position.min(last)).copied().unwrap_or(0)
    }
}

/// Jain's index: 1 where all are equal.
pub(crate) fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares > 0.0 {
        sum * sum / (wide(values.len()) * squares)
    } else {
        1.0
    }
}

/// Shares a total by weight, giving nobody more than its demand (max-min fairness).
pub(crate) fn entitlements(total: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| (demands[a] / weights[a]).total_cmp(&(demands[b] / weights[b])));
    let mut left = total;
    let mut weight_left: f64 = weights.iter().sum();
    let mut shares = vec![0.0; demands.len()];
    for customer in order {
        shares[customer] = demands[customer].min(left * weights[customer] / weight_left);
        left -= shares[customer];
        weight_left -= weights[customer];
    }
    shares
}
