use std::time::Duration;

use tokio::time::Instant;

/// Duration in whole ms, rounded down.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole ms since `start`, rounded down.
pub(crate) fn elapsed_ms(start: Instant) -> u64 {
    milliseconds(start.elapsed())
}
