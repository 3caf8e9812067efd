use dispatch::RefusalReason;
use hdrhistogram::Histogram;

/// Gap between tokens from which on a caller is stalled.
pub(crate) const STALL_US: u64 = 200_000;
/// Goal for the first token.
pub(crate) const FIRST_TOKEN_GOAL_US: u64 = 310_000;
const HIGHEST_US: u64 = 3_600_000_000;

/// What callers saw in one run.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) bytes_across_regions: u64,
    pub(crate) call_us: Histogram<u32>,
    pub(crate) completed: u64,
    pub(crate) first_us: Histogram<u32>,
    pub(crate) gap_us: Histogram<u32>,
    pub(crate) gave_up: u64,
    pub(crate) good_tokens: u64,
    pub(crate) late_first_us: u64,
    pub(crate) lost: u64,
    pub(crate) refusals: Vec<(RefusalReason, u64)>,
    pub(crate) requests: u64,
    pub(crate) stalls: Vec<Stall>,
}

/// Stall time of one generation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stall {
    pub(crate) customer: usize,
    pub(crate) stall_us: u64,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        Self {
            bytes_across_regions: 0,
            call_us: histogram(),
            completed: 0,
            first_us: histogram(),
            gap_us: histogram(),
            gave_up: 0,
            good_tokens: 0,
            late_first_us: 0,
            lost: 0,
            refusals: Vec::new(),
            requests: 0,
            stalls: Vec::new(),
        }
    }

    pub(crate) fn first_token(&mut self, waited_us: u64) {
        self.first_us.saturating_record(waited_us);
        self.late_first_us += waited_us.saturating_sub(FIRST_TOKEN_GOAL_US);
    }

    pub(crate) fn refused(&mut self, reason: RefusalReason) {
        match self
            .refusals
            .binary_search_by_key(&reason, |(known, _)| *known)
        {
            Ok(position) => self.refusals[position].1 += 1,
            Err(position) => self.refusals.insert(position, (reason, 1)),
        }
    }

    /// Stall time below which this part of the generations stays.
    pub(crate) fn stall_us(&self, part: f64, without: Option<usize>) -> u64 {
        let counted = self
            .stalls
            .iter()
            .filter(|stall| Some(stall.customer) != without);
        let mut sorted: Vec<u64> = counted.map(|stall| stall.stall_us).collect();
        sorted.sort_unstable();
        let before = crate::experiment::draw::whole(part * wide(sorted.len()), 0, u32::MAX);
        sorted
            .get((before as usize).min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
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

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn wide(count: usize) -> f64 {
    count as f64
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, HIGHEST_US, 3).expect("valid bounds")
}
