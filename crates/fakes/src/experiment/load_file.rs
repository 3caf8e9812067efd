use std::error::Error;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::engine::EngineSettings;

/// A deployment and the load on it; `docs/EXPERIMENTS.md` describes the fields.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    pub(crate) burst: Burst,
    pub(crate) customers: Vec<Customer>,
    pub(crate) day_s: f64,
    pub(crate) duration_s: u32,
    pub(crate) engine: EngineSettings,
    pub(crate) flood_customer: usize,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) latency_us: Latency,
    pub(crate) name: String,
    pub(crate) regions: Vec<Region>,
    pub(crate) service_calls_max: u32,
}

/// Recurring burst, which multiplies the request rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Burst {
    pub(crate) factor: f64,
    pub(crate) gap_s: f64,
    pub(crate) length_s: f64,
}

/// Customer of the load, with its rows.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Customer {
    pub(crate) length_scale: f64,
    #[serde(rename = "name")]
    _name: String,
    pub(crate) region: usize,
    pub(crate) rows: Vec<Row>,
}

/// Distribution of a number of tokens.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Distribution {
    Lognormal { median: f64, sigma: f64 },
    Pareto { minimum: f64, shape: f64 },
}

/// Kind of work: lengths, daily curve and longest wait of its requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kind {
    pub(crate) day_amplitude: f64,
    pub(crate) day_peak: f64,
    pub(crate) length: Distribution,
    pub(crate) max_tokens: u32,
    #[serde(rename = "name")]
    _name: String,
    pub(crate) prompt: Distribution,
    pub(crate) service: bool,
    pub(crate) template_tokens: u32,
    pub(crate) templates: u64,
    pub(crate) urgent_part: f64,
    pub(crate) wait_ms_max: u64,
}

/// Latencies from a client, within a data centre and between regions, in µs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Latency {
    pub(crate) client: u64,
    pub(crate) data_centre: u64,
    pub(crate) region: u64,
}

/// Region, with its numbers of engines and service endpoints.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Region {
    pub(crate) engines: u32,
    #[serde(rename = "name")]
    _name: String,
    pub(crate) services: u32,
}

/// Request rate and limits of a customer for one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Row {
    pub(crate) kind: usize,
    pub(crate) priority: i32,
    pub(crate) queued_max: u32,
    pub(crate) rate: f64,
    pub(crate) running_max: u32,
    pub(crate) weight: f64,
}

impl LoadFile {
    /// Reads a load file; `duration_s`, if given, replaces its duration.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or parsed.
    pub fn read(path: &Path, duration_s: Option<u32>) -> Result<Self, Box<dyn Error>> {
        let text = fs::read_to_string(path)?;
        let mut load: Self = serde_json::from_str(&text)?;
        load.duration_s = duration_s.unwrap_or(load.duration_s);
        Ok(load)
    }

    /// Name of the deployment.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn duration_us(&self) -> u64 {
        u64::from(self.duration_s) * 1_000_000
    }
}
