use thiserror::Error;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    CacheGaps(f64),
    EngineLoss,
    Flood,
    None,
    ReportLag(u64),
    Shift,
}

/// One run of all policies.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub(crate) fault: Fault,
    pub(crate) fault_name: String,
    pub(crate) load_factor: f64,
    pub(crate) seed: u64,
}

/// The name of a fault is not known.
#[derive(Debug, Error)]
#[error("`{0}` is no fault; known are none, engine-loss, flood, shift, lag:MS and gaps:PART")]
pub struct UnknownFault(String);

const LAG_MS: u64 = 1_000;

impl Scenario {
    /// A run at `load_factor` times capacity.
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

    pub(crate) fn gap_part(&self) -> f64 {
        match self.fault {
            Fault::CacheGaps(part) => part,
            _ => 0.0,
        }
    }

    pub(crate) fn lag_us(&self) -> u64 {
        match self.fault {
            Fault::ReportLag(lag_ms) => lag_ms * 1000,
            _ => LAG_MS * 1000,
        }
    }
}

fn parse(text: &str) -> Option<Fault> {
    match text.split_once(':') {
        Some(("gaps", part)) => part.parse().ok().map(Fault::CacheGaps),
        Some(("lag", lag_ms)) => lag_ms.parse().ok().map(Fault::ReportLag),
        Some(_) => None,
        None => match text {
            "engine-loss" => Some(Fault::EngineLoss),
            "flood" => Some(Fault::Flood),
            "none" => Some(Fault::None),
            "shift" => Some(Fault::Shift),
            _ => None,
        },
    }
}
