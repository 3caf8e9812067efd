use serde::{Deserialize, Serialize};

use crate::CLOCK_STEP_MS_MAX;

/// Time that has gone by in the log, from the times that leaders stamped.
///
/// Leaders' clocks may differ and jump. A step back counts as no time, and a step forward as at most
/// [`CLOCK_STEP_MS_MAX`], so that one wrong clock neither ends every retention nor stops time.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Clock {
    elapsed_ms: u64,
    stamped_ms: u64,
}

impl Clock {
    /// Takes the time of a log entry.
    pub(crate) fn advance(&mut self, at_ms: u64) {
        let step_ms = at_ms.saturating_sub(self.stamped_ms);
        self.elapsed_ms += step_ms.min(CLOCK_STEP_MS_MAX);
        self.stamped_ms = at_ms;
    }

    /// Time that has gone by.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.elapsed_ms
    }
}
