use hdrhistogram::Histogram;

use crate::experiment::random::{round_clamped, usize_to_f64};

/// Time between tokens above which a generation counts as stalled.
const STALL_THRESHOLD_US: u64 = 200_000;
/// Time to first token above which a request counts as late.
const FIRST_TOKEN_GOAL_US: u64 = 310_000;
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;

/// Measurements of one run, as seen by clients.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) completed: u64,
    pub(crate) cross_region_bytes: u64,
    pub(crate) first_token_us: Histogram<u32>,
    pub(crate) gave_up: u64,
    /// Tokens of completed generations that were fast enough.
    pub(crate) good_tokens: u64,
    /// Sum of the times by which first tokens were later than `FIRST_TOKEN_GOAL_US`.
    pub(crate) late_first_token_us: u64,
    /// Generations that lost their engine after the first token.
    pub(crate) lost: u64,
    pub(crate) refused: u64,
    pub(crate) requests: u64,
    /// Permits requested again after an endpoint failed or refused a request.
    pub(crate) retries: u64,
    pub(crate) service_call_us: Histogram<u32>,
    /// One entry for each generation with a token.
    pub(crate) stalls: Vec<GenerationStall>,
    pub(crate) token_gap_us: Histogram<u32>,
}

/// Stall time of one generation.
#[derive(Debug)]
pub(crate) struct GenerationStall {
    pub(crate) customer: usize,
    pub(crate) stall_us: u64,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 3).expect("valid bounds");
        Self {
            completed: 0,
            cross_region_bytes: 0,
            first_token_us: histogram(),
            gave_up: 0,
            good_tokens: 0,
            late_first_token_us: 0,
            lost: 0,
            refused: 0,
            requests: 0,
            retries: 0,
            service_call_us: histogram(),
            stalls: Vec::new(),
            token_gap_us: histogram(),
        }
    }

    pub(crate) fn record_first_token(&mut self, waited_us: u64) {
        self.first_token_us.saturating_record(waited_us);
        self.late_first_token_us += waited_us.saturating_sub(FIRST_TOKEN_GOAL_US);
    }

    /// Records a time between tokens and returns its stall time.
    pub(crate) fn record_token_gap(&mut self, token_gap_us: u64) -> u64 {
        self.token_gap_us.saturating_record(token_gap_us);
        token_gap_us.saturating_sub(STALL_THRESHOLD_US)
    }

    /// Quantile of the stall time per generation, optionally without one customer.
    pub(crate) fn stall_us(&self, quantile: f64, excluded_customer: Option<usize>) -> u64 {
        let included = self
            .stalls
            .iter()
            .filter(|stall| Some(stall.customer) != excluded_customer);
        let mut sorted: Vec<u64> = included.map(|stall| stall.stall_us).collect();
        sorted.sort_unstable();
        let position = round_clamped(quantile * usize_to_f64(sorted.len()), 0, u32::MAX) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(position.min(last)).copied().unwrap_or(0)
    }
}

/// Jain's fairness index: 1 if all values are equal.
pub(crate) fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares > 0.0 {
        sum * sum / (usize_to_f64(values.len()) * squares)
    } else {
        1.0
    }
}

/// Divides a total by weight; no share exceeds its demand (weighted max-min fairness).
pub(crate) fn fair_shares(total: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| (demands[a] / weights[a]).total_cmp(&(demands[b] / weights[b])));
    let mut remaining = total;
    let mut remaining_weight: f64 = weights.iter().sum();
    let mut shares = vec![0.0; demands.len()];
    for customer in order {
        shares[customer] = demands[customer].min(remaining * weights[customer] / remaining_weight);
        remaining -= shares[customer];
        remaining_weight -= weights[customer];
    }
    shares
}
