use serde::{Deserialize, Serialize};

/// Longest time step that [`LogClock`] counts between two log entries.
pub const CLOCK_STEP_MS_MAX: u64 = 10 * 60 * 1000;

/// Elapsed time of a replicated log, computed from the timestamps that leaders put on its entries.
///
/// Leaders' clocks may differ and jump. A step back counts as zero and a step forward as at most
/// [`CLOCK_STEP_MS_MAX`]. A wrong clock therefore neither ends every retention nor stops time.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogClock {
    elapsed_ms: u64,
    last_timestamp_ms: u64,
}

impl LogClock {
    /// Adds the time since the previous log entry.
    pub fn advance(&mut self, timestamp_ms: u64) {
        let step_ms = timestamp_ms.saturating_sub(self.last_timestamp_ms);
        self.elapsed_ms += step_ms.min(CLOCK_STEP_MS_MAX);
        self.last_timestamp_ms = timestamp_ms;
    }

    /// Sum of the counted time steps.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        self.elapsed_ms
    }
}
