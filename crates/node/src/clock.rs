use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Monotonic clock that starts at 0 with the instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        saturate(self.started.elapsed().as_millis())
    }

    /// Microseconds since the start.
    pub(crate) fn now_us(&self) -> u64 {
        saturate(self.started.elapsed().as_micros())
    }
}

/// Milliseconds since the Unix epoch by the wall clock.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| saturate(elapsed.as_millis()))
}

fn saturate(duration: u128) -> u64 {
    u64::try_from(duration).unwrap_or(u64::MAX)
}
