use super::IntervalHistogram;

/// Longest time between two status events that the protocol of engines allows.
const STATUS_INTERVAL_US: u64 = 500_000;

/// Smallest silence timeout, in status intervals.
const SILENCE_INTERVALS_MIN: u64 = 4;

/// Number of intervals below which the default timeouts apply.
const SAMPLES_MIN: u32 = 200;

/// Default silence timeout.
const SILENCE_DEFAULT_US: u64 = 2_500_000;

/// Smallest progress timeout.
const PROGRESS_MIN_US: u64 = 5_000_000;

/// Default progress timeout.
const PROGRESS_DEFAULT_US: u64 = 20_000_000;

/// Largest timeout of both kinds.
const TIMEOUT_MAX_US: u64 = 60_000_000;

/// Ratio of a timeout to the 99.9th percentile of the endpoint's intervals.
const TIMEOUT_FACTOR: u64 = 8;

/// Times after which a generation on an endpoint counts as stalled.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct StallTimeouts {
    /// Time without a token while the last status is `running`.
    pub progress_us: u64,
    /// Time without any event.
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
    /// Derives the timeouts of an endpoint from its intervals between events and between tokens.
    #[must_use]
    pub fn from_intervals(
        event_intervals: &IntervalHistogram,
        token_intervals: &IntervalHistogram,
    ) -> Self {
        let default = Self::default();
        let silence_min_us = SILENCE_INTERVALS_MIN * STATUS_INTERVAL_US;
        Self {
            progress_us: timeout_us(token_intervals, PROGRESS_MIN_US)
                .unwrap_or(default.progress_us),
            silence_us: timeout_us(event_intervals, silence_min_us).unwrap_or(default.silence_us),
        }
    }
}

/// Derives a timeout from intervals; `None` with too few of them.
fn timeout_us(intervals: &IntervalHistogram, min_us: u64) -> Option<u64> {
    if intervals.count() < SAMPLES_MIN {
        return None;
    }
    let percentile_99_9_us = intervals.quantile_us(999)?;
    Some((percentile_99_9_us * TIMEOUT_FACTOR).clamp(min_us, TIMEOUT_MAX_US))
}
