use serde::Deserialize;

use crate::engine::EngineSettings;

/// A deployment and the load on it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Phases in which a customer sends more than usual.
    pub burst: Burst,
    /// Customers with their rows.
    pub customers: Vec<Customer>,
    /// Length of the simulated day, in which the load rises and falls once.
    pub day_s: f64,
    /// Time during which requests arrive.
    pub duration_s: u64,
    /// Size and speed of each engine.
    pub engine: EngineSettings,
    /// Position of the customer that floods in the flood scenario.
    pub flood_customer: usize,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// One-way latencies.
    pub latency_us: Latency,
    /// Name of the deployment.
    pub name: String,
    /// Regions with their replicas; the owner of all replicas is in the first.
    pub regions: Vec<Region>,
    /// Most calls at once of each plain service.
    pub service_calls_max: u32,
}

/// Phases in which a customer sends more than usual.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Rate in a burst over the rate outside.
    pub factor: f64,
    /// Mean time between bursts.
    pub gap_s: f64,
    /// Mean length of a burst.
    pub length_s: f64,
}

/// One customer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Factor on the lengths of its answers.
    pub length_scale: f64,
    /// Its name.
    pub name: String,
    /// Where most of its callers are.
    pub region: usize,
    /// Its rows of the table.
    pub rows: Vec<Row>,
}

/// How a quantity is spread.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Logarithms are normal.
    Lognormal {
        /// Half of the draws are below.
        median: f64,
        /// Standard deviation of the natural logarithm.
        sigma: f64,
    },
    /// Power law.
    Pareto {
        /// No draw is below.
        minimum: f64,
        /// Exponent of the tail.
        shape: f64,
    },
}

/// One kind of work.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Part of the load that rises and falls with the day.
    pub day_amplitude: f64,
    /// When the peak is, as a part of the day.
    pub day_peak: f64,
    /// Tokens of an answer; for a plain service, milliseconds of a call.
    pub length: Distribution,
    /// Most tokens that callers allow.
    pub max_tokens: u32,
    /// Name of the kind.
    pub name: String,
    /// Tokens of a prompt after the template.
    pub prompt: Distribution,
    /// Whether a plain service answers.
    pub service: bool,
    /// Tokens of each customer's template, with which its prompts begin.
    pub template_tokens: u32,
    /// Templates that each customer has.
    pub templates: u64,
    /// Part of the requests that are urgent.
    pub urgent_part: f64,
    /// Time after which a caller without a first token goes away.
    pub wait_ms_max: u64,
}

/// One-way latencies.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between a caller and its entry instance.
    pub client: u64,
    /// Between data centres of one region.
    pub data_centre: u64,
    /// Between regions.
    pub region: u64,
}

/// One region.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Model replicas.
    pub engines: u32,
    /// Its name.
    pub name: String,
    /// Replicas of the plain service.
    pub services: u32,
}

/// One customer's row for a kind of work.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Position of the kind.
    pub kind: usize,
    /// Priority towards engines.
    pub priority: i32,
    /// Most requests waiting.
    pub queued_max: u32,
    /// Part of the model's requests; for a plain service, calls a second.
    pub rate: f64,
    /// Most requests running.
    pub running_max: u32,
    /// Share of engine time relative to other rows.
    pub weight: f64,
}
