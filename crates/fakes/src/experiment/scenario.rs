use thiserror::Error;

/// Fault injected in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ScenarioFault {
    /// This fraction of cache updates is lost.
    CacheGaps(f64),
    /// Three engines fail for a minute, one of them after it announced that it leaves.
    EngineLoss,
    /// One customer sends a multiple of its load in the middle half of the run.
    Flood,
    None,
    /// Load reports arrive after this time, in milliseconds.
    ReportLag(u64),
    /// The daily load curve moves ahead by an hour at half of the run.
    Shift,
}

/// Load factor, fault and seed of a run; all policies are compared on the same scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub(crate) fault: ScenarioFault,
    pub(crate) fault_name: String,
    pub(crate) load_factor: f64,
    pub(crate) seed: u64,
}

/// The fault has an unknown name or an invalid parameter.
#[derive(Debug, Error)]
#[error("unknown fault `{0}`; use none, engine-loss, flood, shift, lag:MS or gaps:PART")]
pub struct UnknownFault(String);

/// Delay of load reports in runs without the fault `lag`.
const REPORT_LAG_MS: u64 = 1_000;

impl Scenario {
    /// Builds a scenario with `load_factor` times the capacity of the deployment.
    ///
    /// # Errors
    ///
    /// When the fault is not known.
    pub fn new(fault: &str, load_factor: f64, seed: u64) -> Result<Self, UnknownFault> {
        let parsed = parse(fault).ok_or_else(|| UnknownFault(fault.to_owned()))?;
        Ok(Self {
            fault: parsed,
            fault_name: fault.to_owned(),
            load_factor,
            seed,
        })
    }

    /// Seed of all random draws.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    pub(crate) fn gap_fraction(&self) -> f64 {
        match self.fault {
            ScenarioFault::CacheGaps(gap_fraction) => gap_fraction,
            _ => 0.0,
        }
    }

    pub(crate) fn report_lag_us(&self) -> u64 {
        match self.fault {
            ScenarioFault::ReportLag(lag_ms) => lag_ms * 1000,
            _ => REPORT_LAG_MS * 1000,
        }
    }
}

fn parse(text: &str) -> Option<ScenarioFault> {
    match text.split_once(':') {
        Some(("gaps", gap_fraction)) => gap_fraction.parse().ok().map(ScenarioFault::CacheGaps),
        Some(("lag", lag_ms)) => lag_ms.parse().ok().map(ScenarioFault::ReportLag),
        Some(_) => None,
        None => match text {
            "engine-loss" => Some(ScenarioFault::EngineLoss),
            "flood" => Some(ScenarioFault::Flood),
            "none" => Some(ScenarioFault::None),
            "shift" => Some(ScenarioFault::Shift),
            _ => None,
        },
    }
}
