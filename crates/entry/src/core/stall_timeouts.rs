use super::IntervalHistogram;

/// Longest time without a status that the interface of engines allows.
const STATUS_INTERVAL_US: u64 = 500_000;

/// Silences below this many status intervals never count as a stall.
const SILENCE_INTERVALS_MIN: u64 = 4;

/// Times below which the defaults stand.
const SAMPLES_MIN: u32 = 200;

/// Silence that counts as a stall while little is known about the endpoint.
const SILENCE_DEFAULT_US: u64 = 2_500_000;

/// Time without a token while running that counts as a stall, at least.
const PROGRESS_MIN_US: u64 = 5_000_000;

/// The same while little is known about the endpoint.
const PROGRESS_DEFAULT_US: u64 = 20_000_000;

/// No time counts as normal beyond this one.
const PATIENCE_MAX_US: u64 = 60_000_000;

/// How far a time must lie beyond the 99.9th percentile to count as a stall.
const MARGIN: u64 = 8;

/// How long an endpoint may be silent, or running without a token, before it counts as stalled.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct StallTimeouts {
    /// Without a token, while the last status is `running`.
    pub progress_us: u64,
    /// Without any event.
    pub silence_us: u64,
}

impl Default for StallTimeouts {
    fn default() -> Self {
        Self {
            progress_us: PROGRESS_DEFAULT_US,
            silence_us: SILENCE_DEFAULT_US,
        }
    }
}

impl StallTimeouts {
    /// Follows from the measured times between events and between tokens of an endpoint.
    #[must_use]
    pub fn from_intervals(silences: &IntervalHistogram, token_gaps: &IntervalHistogram) -> Self {
        let default = Self::default();
        let silence_min_us = SILENCE_INTERVALS_MIN * STATUS_INTERVAL_US;
        Self {
            progress_us: bound(token_gaps, PROGRESS_MIN_US).unwrap_or(default.progress_us),
            silence_us: bound(silences, silence_min_us).unwrap_or(default.silence_us),
        }
    }
}

fn bound(times: &IntervalHistogram, min_us: u64) -> Option<u64> {
    if times.count() < SAMPLES_MIN {
        return None;
    }
    let rare_us = times.quantile_us(999)?;
    Some((rare_us * MARGIN).clamp(min_us, PATIENCE_MAX_US))
}
