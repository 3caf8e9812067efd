use serde::Serialize;

use crate::experiment::capacity::Capacity;
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::{Metrics, entitlements, jain, wide};
use crate::experiment::scenario::Scenario;
use crate::experiment::workload::Arrival;

/// Figures of one policy in one run, as in `docs/EXPERIMENTS.md`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[expect(
    missing_docs,
    reason = "the columns are defined once, in docs/EXPERIMENTS.md"
)]
pub struct Summary {
    pub load: String,
    pub load_factor: f64,
    pub fault: String,
    pub seed: u64,
    pub policy: String,
    pub requests: u64,
    pub completed: u64,
    pub refused: u64,
    pub gave_up: u64,
    pub lost: u64,
    pub good_tokens_per_s: f64,
    pub stall_total_s: f64,
    pub stall_p50_ms: f64,
    pub stall_p99_ms: f64,
    pub others_stall_p99_ms: f64,
    pub preemptions: u64,
    pub preemptions_per_1000: f64,
    pub gap_p50_ms: f64,
    pub gap_p95_ms: f64,
    pub gap_p99_ms: f64,
    pub gap_p999_ms: f64,
    pub first_p50_ms: f64,
    pub first_p95_ms: f64,
    pub first_p99_ms: f64,
    pub first_p999_ms: f64,
    pub late_first_total_s: f64,
    pub call_p50_ms: f64,
    pub call_p99_ms: f64,
    pub jain: f64,
    pub megabytes_across_regions: f64,
}

/// What a run leaves behind.
pub(crate) struct Outcome<'a> {
    /// Engine time of each customer while requests arrived.
    pub(crate) account_us: &'a [f64],
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) metrics: &'a Metrics,
    pub(crate) policy: &'a str,
    pub(crate) preemptions: u64,
}

impl Summary {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub(crate) fn of(load: &LoadFile, scenario: &Scenario, outcome: &Outcome<'_>) -> Self {
        let metrics = outcome.metrics;
        let gap_ms = |part| metrics.gap_us.value_at_quantile(part) as f64 / 1e3;
        let first_ms = |part| metrics.first_us.value_at_quantile(part) as f64 / 1e3;
        let call_ms = |part| metrics.call_us.value_at_quantile(part) as f64 / 1e3;
        let stall_ms = |part, without| metrics.stall_us(part, without) as f64 / 1e3;
        let stall_total_us: u64 = metrics.stalls.iter().map(|stall| stall.stall_us).sum();
        let generations = metrics.stalls.len();
        Self {
            load: load.name.clone(),
            load_factor: scenario.load_factor,
            fault: scenario.fault.name(),
            seed: scenario.seed,
            policy: outcome.policy.to_owned(),
            requests: metrics.requests,
            completed: metrics.completed,
            refused: metrics.refusals.iter().map(|(_, count)| count).sum(),
            gave_up: metrics.gave_up,
            lost: metrics.lost,
            good_tokens_per_s: metrics.good_tokens as f64 / load.duration_s as f64,
            stall_total_s: stall_total_us as f64 / 1e6,
            stall_p50_ms: stall_ms(0.5, None),
            stall_p99_ms: stall_ms(0.99, None),
            others_stall_p99_ms: stall_ms(0.99, Some(load.flood_customer)),
            preemptions: outcome.preemptions,
            preemptions_per_1000: outcome.preemptions as f64 * 1e3 / wide(generations.max(1)),
            gap_p50_ms: gap_ms(0.5),
            gap_p95_ms: gap_ms(0.95),
            gap_p99_ms: gap_ms(0.99),
            gap_p999_ms: gap_ms(0.999),
            first_p50_ms: first_ms(0.5),
            first_p95_ms: first_ms(0.95),
            first_p99_ms: first_ms(0.99),
            first_p999_ms: first_ms(0.999),
            late_first_total_s: metrics.late_first_us as f64 / 1e6,
            call_p50_ms: call_ms(0.5),
            call_p99_ms: call_ms(0.99),
            jain: fairness(load, outcome),
            megabytes_across_regions: metrics.bytes_across_regions as f64 / 1e6,
        }
    }
}

/// Jain's index of engine time over each customer's entitlement.
fn fairness(load: &LoadFile, outcome: &Outcome<'_>) -> f64 {
    let capacity = Capacity::of(load);
    let mut demands = vec![0.0; load.customers.len()];
    for arrival in outcome.arrivals {
        if !load.kinds[arrival.kind].service {
            demands[arrival.customer] += capacity.engine_us(load, arrival);
        }
    }
    let weight = |customer: usize| {
        let rows = load.customers[customer].rows.iter();
        rows.filter(|row| !load.kinds[row.kind].service)
            .map(|row| row.weight)
            .sum()
    };
    let weights: Vec<f64> = (0..demands.len()).map(weight).collect();
    let used: Vec<f64> = (0..demands.len())
        .map(|customer| outcome.account_us.get(customer).copied().unwrap_or(0.0))
        .collect();
    let total: f64 = used.iter().sum::<f64>().min(demands.iter().sum());
    let shares = entitlements(total, &demands, &weights);
    let ratios: Vec<f64> = used
        .iter()
        .zip(&shares)
        .filter(|(_, share)| **share > 0.0)
        .map(|(used, share)| used / share)
        .collect();
    jain(&ratios)
}
