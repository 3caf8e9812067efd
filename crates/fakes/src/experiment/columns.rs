use dispatch::Policy;

use crate::experiment::capacity::Capacity;
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::{Metrics, fair_shares, jain_index};
use crate::experiment::random::usize_to_f64;
use crate::experiment::workload::Arrival;

/// Input of the columns: the load, the policy and the measurements of one run.
pub(crate) struct RunResult<'a> {
    pub(crate) arrivals: &'a [Arrival],
    /// Engine time of each customer until the end of the arrival window.
    pub(crate) engine_us_by_account: &'a [f64],
    pub(crate) load: &'a LoadFile,
    pub(crate) metrics: &'a Metrics,
    pub(crate) policy: &'a dyn Policy,
    pub(crate) preemptions: u64,
}

/// One column of the report.
pub(crate) struct Column {
    pub(crate) decimals: usize,
    pub(crate) name: &'static str,
    value: fn(&RunResult<'_>) -> f64,
}

/// All columns in the order of the report, as defined in `docs/EXPERIMENTS.md`.
pub(crate) const COLUMNS: [Column; 27] = [
    column("stall_s", 1, |r| u64_to_f64(r.stall_total_us()) / 1e6),
    column("stall_p50_ms", 0, |r| r.stall_ms(0.5, None)),
    column("stall_p99_ms", 0, |r| r.stall_ms(0.99, None)),
    column("others_p99_ms", 0, |r| r.others_stall_ms(0.99)),
    column("preemptions", 0, |r| u64_to_f64(r.preemptions)),
    column("preempt_1k", 2, |r| r.per_1000(r.preemptions)),
    column("gap_p50_ms", 1, |r| r.token_gap_ms(0.5)),
    column("gap_p95_ms", 1, |r| r.token_gap_ms(0.95)),
    column("gap_p99_ms", 1, |r| r.token_gap_ms(0.99)),
    column("gap_p999_ms", 1, |r| r.token_gap_ms(0.999)),
    column("first_p50_ms", 0, |r| r.first_token_ms(0.5)),
    column("first_p95_ms", 0, |r| r.first_token_ms(0.95)),
    column("first_p99_ms", 0, |r| r.first_token_ms(0.99)),
    column("first_p999_ms", 0, |r| r.first_token_ms(0.999)),
    column("late_s", 0, |r| {
        u64_to_f64(r.metrics.late_first_token_us) / 1e6
    }),
    column("good_tok_s", 0, |r| r.per_s(r.metrics.good_tokens)),
    column("jain", 3, |r| jain_index(&r.fair_share_ratios())),
    column("across_mb", 0, |r| {
        u64_to_f64(r.metrics.cross_region_bytes) / 1e6
    }),
    column("call_p50_ms", 0, |r| r.service_call_ms(0.5)),
    column("call_p99_ms", 0, |r| r.service_call_ms(0.99)),
    column("requests", 0, |r| u64_to_f64(r.metrics.requests)),
    column("generations", 0, |r| usize_to_f64(r.metrics.stalls.len())),
    column("completed", 0, |r| u64_to_f64(r.metrics.completed)),
    column("refused", 0, |r| u64_to_f64(r.metrics.refused)),
    column("gave_up", 0, |r| u64_to_f64(r.metrics.gave_up)),
    column("retries", 0, |r| u64_to_f64(r.metrics.retries)),
    column("lost", 0, |r| u64_to_f64(r.metrics.lost)),
];

/// Columns that are only in the CSV file.
const CSV_ONLY: [&str; 7] = [
    "call_p50_ms",
    "first_p999_ms",
    "gap_p50_ms",
    "generations",
    "preemptions",
    "requests",
    "stall_p50_ms",
];

const fn column(name: &'static str, decimals: usize, value: fn(&RunResult<'_>) -> f64) -> Column {
    Column {
        decimals,
        name,
        value,
    }
}

impl Column {
    pub(crate) fn is_printed(&self) -> bool {
        !CSV_ONLY.contains(&self.name)
    }

    pub(crate) fn value(&self, result: &RunResult<'_>) -> f64 {
        (self.value)(result)
    }

    pub(crate) fn width(&self) -> usize {
        self.name.len().max(9)
    }
}

impl RunResult<'_> {
    fn service_call_ms(&self, quantile: f64) -> f64 {
        u64_to_f64(self.metrics.service_call_us.value_at_quantile(quantile)) / 1e3
    }

    fn first_token_ms(&self, quantile: f64) -> f64 {
        u64_to_f64(self.metrics.first_token_us.value_at_quantile(quantile)) / 1e3
    }

    fn token_gap_ms(&self, quantile: f64) -> f64 {
        u64_to_f64(self.metrics.token_gap_us.value_at_quantile(quantile)) / 1e3
    }

    fn others_stall_ms(&self, quantile: f64) -> f64 {
        self.stall_ms(quantile, Some(self.load.flood_customer))
    }

    fn per_1000(&self, count: u64) -> f64 {
        u64_to_f64(count) * 1e3 / usize_to_f64(self.metrics.stalls.len().max(1))
    }

    fn per_s(&self, count: u64) -> f64 {
        u64_to_f64(count) / f64::from(self.load.duration_s)
    }

    fn stall_ms(&self, quantile: f64, excluded_customer: Option<usize>) -> f64 {
        u64_to_f64(self.metrics.stall_us(quantile, excluded_customer)) / 1e3
    }

    fn stall_total_us(&self) -> u64 {
        self.metrics.stalls.iter().map(|stall| stall.stall_us).sum()
    }

    /// Engine time of each customer divided by its fair share.
    fn fair_share_ratios(&self) -> Vec<f64> {
        let capacity = Capacity::from_load(self.load);
        let customers = self.load.customers.len();
        let mut demands = vec![0.0; customers];
        let mut weights = vec![0.0; customers];
        let is_service = |arrival: &&Arrival| self.load.kinds[arrival.kind].service;
        for arrival in self.arrivals.iter().filter(|arrival| !is_service(arrival)) {
            demands[arrival.customer] += capacity.request_engine_us(self.load, arrival);
        }
        for (index, customer) in self.load.customers.iter().enumerate() {
            let rows = customer.rows.iter();
            let rows = rows.filter(|row| !self.load.kinds[row.kind].service);
            weights[index] = rows.map(|row| row.weight).sum();
        }
        let used = |customer| {
            self.engine_us_by_account
                .get(customer)
                .copied()
                .unwrap_or(0.0)
        };
        let used: Vec<f64> = (0..customers).map(used).collect();
        let total = used.iter().sum::<f64>().min(demands.iter().sum());
        let shares = fair_shares(total, &demands, &weights);
        let pairs = used.iter().zip(&shares);
        pairs.map(|(used, share)| used / share.max(1.0)).collect()
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn u64_to_f64(count: u64) -> f64 {
    count as f64
}
