use dispatch::Policy;

use crate::experiment::capacity::Capacity;
use crate::experiment::draw::wide;
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::{Metrics, entitlements, jain};
use crate::experiment::workload::Arrival;

/// What a run leaves behind.
pub(crate) struct Outcome<'a> {
    /// Engine time of each customer while requests arrived.
    pub(crate) account_us: &'a [f64],
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) load: &'a LoadFile,
    pub(crate) metrics: &'a Metrics,
    pub(crate) policy: &'a dyn Policy,
    pub(crate) preemptions: u64,
}

/// One figure.
pub(crate) struct Column {
    pub(crate) decimals: usize,
    pub(crate) name: &'static str,
    value: fn(&Outcome<'_>) -> f64,
}

/// All figures, in order, as defined in `docs/EXPERIMENTS.md`.
pub(crate) const COLUMNS: [Column; 27] = [
    column("stall_s", 1, |o| real(o.stall_total_us()) / 1e6),
    column("stall_p50_ms", 0, |o| o.stall_ms(0.5, None)),
    column("stall_p99_ms", 0, |o| o.stall_ms(0.99, None)),
    column("others_p99_ms", 0, |o| o.others_stall_ms(0.99)),
    column("preemptions", 0, |o| real(o.preemptions)),
    column("preempt_1k", 2, |o| o.per_1000(o.preemptions)),
    column("gap_p50_ms", 1, |o| o.gap_ms(0.5)),
    column("gap_p95_ms", 1, |o| o.gap_ms(0.95)),
    column("gap_p99_ms", 1, |o| o.gap_ms(0.99)),
    column("gap_p999_ms", 1, |o| o.gap_ms(0.999)),
    column("first_p50_ms", 0, |o| o.first_ms(0.5)),
    column("first_p95_ms", 0, |o| o.first_ms(0.95)),
    column("first_p99_ms", 0, |o| o.first_ms(0.99)),
    column("first_p999_ms", 0, |o| o.first_ms(0.999)),
    column("late_s", 0, |o| real(o.metrics.late_first_us) / 1e6),
    column("good_tok_s", 0, |o| o.per_s(o.metrics.good_tokens)),
    column("jain", 3, |o| jain(&o.used_shares())),
    column("across_mb", 0, |o| real(o.metrics.across_bytes) / 1e6),
    column("call_p50_ms", 0, |o| o.call_ms(0.5)),
    column("call_p99_ms", 0, |o| o.call_ms(0.99)),
    column("requests", 0, |o| real(o.metrics.requests)),
    column("generations", 0, |o| wide(o.metrics.stalls.len())),
    column("completed", 0, |o| real(o.metrics.completed)),
    column("refused", 0, |o| real(o.metrics.refused)),
    column("gave_up", 0, |o| real(o.metrics.gave_up)),
    column("retries", 0, |o| real(o.metrics.retries)),
    column("lost", 0, |o| real(o.metrics.lost)),
];

/// Figures that are in the CSV file only.
const UNPRINTED: [&str; 7] = [
    "call_p50_ms",
    "first_p999_ms",
    "gap_p50_ms",
    "generations",
    "preemptions",
    "requests",
    "stall_p50_ms",
];

const fn column(name: &'static str, decimals: usize, value: fn(&Outcome<'_>) -> f64) -> Column {
    Column {
        decimals,
        name,
        value,
    }
}

impl Column {
    pub(crate) fn is_printed(&self) -> bool {
        !UNPRINTED.contains(&self.name)
    }

    pub(crate) fn value(&self, outcome: &Outcome<'_>) -> f64 {
        (self.value)(outcome)
    }

    pub(crate) fn width(&self) -> usize {
        self.name.len().max(9)
    }
}

impl Outcome<'_> {
    fn call_ms(&self, part: f64) -> f64 {
        real(self.metrics.call_us.value_at_quantile(part)) / 1e3
    }

    fn first_ms(&self, part: f64) -> f64 {
        real(self.metrics.first_us.value_at_quantile(part)) / 1e3
    }

    fn gap_ms(&self, part: f64) -> f64 {
        real(self.metrics.gap_us.value_at_quantile(part)) / 1e3
    }

    fn others_stall_ms(&self, part: f64) -> f64 {
        self.stall_ms(part, Some(self.load.flood_customer))
    }

    fn per_1000(&self, count: u64) -> f64 {
        real(count) * 1e3 / wide(self.metrics.stalls.len().max(1))
    }

    fn per_s(&self, count: u64) -> f64 {
        real(count) / f64::from(self.load.duration_s)
    }

    fn stall_ms(&self, part: f64, without: Option<usize>) -> f64 {
        real(self.metrics.stall_us(part, without)) / 1e3
    }

    fn stall_total_us(&self) -> u64 {
        self.metrics.stalls.iter().map(|stall| stall.stall_us).sum()
    }

    /// Engine time of each customer over its entitlement.
    fn used_shares(&self) -> Vec<f64> {
        let capacity = Capacity::of(self.load);
        let customers = self.load.customers.len();
        let mut demands = vec![0.0; customers];
        let mut weights = vec![0.0; customers];
        let service = |arrival: &&Arrival| self.load.kinds[arrival.kind].service;
        for arrival in self.arrivals.iter().filter(|arrival| !service(arrival)) {
            demands[arrival.customer] += capacity.engine_us(self.load, arrival);
        }
        for (customer, of) in self.load.customers.iter().enumerate() {
            let rows = of.rows.iter();
            let rows = rows.filter(|row| !self.load.kinds[row.kind].service);
            weights[customer] = rows.map(|row| row.weight).sum();
        }
        let used = |customer| self.account_us.get(customer).copied().unwrap_or(0.0);
        let used: Vec<f64> = (0..customers).map(used).collect();
        let total = used.iter().sum::<f64>().min(demands.iter().sum());
        let shares = entitlements(total, &demands, &weights);
        let pairs = used.iter().zip(&shares);
        pairs.map(|(used, share)| used / share.max(1.0)).collect()
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn real(count: u64) -> f64 {
    count as f64
}
