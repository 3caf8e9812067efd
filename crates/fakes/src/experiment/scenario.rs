use std::str::FromStr;

use thiserror::Error;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Cache news are lost with this probability.
    CacheGaps(f64),
    /// Two engines die without notice, a third leaves first; each returns after a minute.
    EngineLoss,
    /// One customer sends twenty times its load through the middle half of the run.
    Flood,
    /// Nothing beyond the usual lag of one second.
    None,
    /// Load and cache reports are this old.
    ReportLag {
        /// Their age.
        lag_ms: u64,
    },
    /// The day jumps by an hour in the middle of the run.
    Shift,
}

/// One run of all policies.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// What goes wrong.
    pub fault: Fault,
    /// Load relative to capacity.
    pub load_factor: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The name of a fault is not known.
#[derive(Debug, Error)]
#[error("`{0}` is no fault; known are none, engine-loss, flood, shift, lag:MS and gaps:PART")]
pub struct UnknownFault(String);

const LAG_MS: u64 = 1_000;

impl Fault {
    /// Name as on the command line.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::CacheGaps(part) => format!("gaps:{part}"),
            Self::EngineLoss => "engine-loss".to_owned(),
            Self::Flood => "flood".to_owned(),
            Self::None => "none".to_owned(),
            Self::ReportLag { lag_ms } => format!("lag:{lag_ms}"),
            Self::Shift => "shift".to_owned(),
        }
    }

    pub(crate) fn gap_part(self) -> f64 {
        match self {
            Self::CacheGaps(part) => part,
            _ => 0.0,
        }
    }

    pub(crate) fn lag_us(self) -> u64 {
        match self {
            Self::ReportLag { lag_ms } => lag_ms * 1000,
            _ => LAG_MS * 1000,
        }
    }
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let unknown = || UnknownFault(text.to_owned());
        match text.split_once(':') {
            Some(("gaps", part)) => part.parse().map(Self::CacheGaps).map_err(|_| unknown()),
            Some(("lag", lag)) => {
                let lag_ms = lag.parse().map_err(|_| unknown())?;
                Ok(Self::ReportLag { lag_ms })
            }
            Some(_) => Err(unknown()),
            None => match text {
                "engine-loss" => Ok(Self::EngineLoss),
                "flood" => Ok(Self::Flood),
                "none" => Ok(Self::None),
                "shift" => Ok(Self::Shift),
                _ => Err(unknown()),
            },
        }
    }
}
