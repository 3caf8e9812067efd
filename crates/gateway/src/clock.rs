use std::time::Duration;

use tokio::time::Instant;

/// Whole ms of a duration.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole ms since a time.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    milliseconds(since.elapsed())
}
