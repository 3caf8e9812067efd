use serde::{Deserialize, Serialize};

/// Most time that counts between two entries of the log.
pub const CLOCK_STEP_MS_MAX: u64 = 10 * 60 * 1000;

/// Time that has gone by in the log, from the times that leaders stamped.
///
/// Leaders' clocks may differ and jump. A step back counts as no time, and a step forward as at most
/// [`CLOCK_STEP_MS_MAX`], so that one wrong clock neither ends every retention nor stops time.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogClock {
    elapsed_ms: u64,
    stamped_ms: u64,
}

impl LogClock {
    /// Takes the time of a log entry.
    pub fn advance(&mut self, at_ms: u64) {
        let step_ms = at_ms.saturating_sub(self.stamped_ms);
        self.elapsed_ms += step_ms.min(CLOCK_STEP_MS_MAX);
        self.stamped_ms = at_ms;
    }

    /// Time that has gone by.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        self.elapsed_ms
    }
}
