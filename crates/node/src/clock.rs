use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Monotonic time since the instance started.
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
        whole(self.started.elapsed().as_millis())
    }

    /// Microseconds since the start.
    pub(crate) fn now_us(&self) -> u64 {
        whole(self.started.elapsed().as_micros())
    }
}

/// Milliseconds since the Unix epoch by the wall clock.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| whole(elapsed.as_millis()))
}

fn whole(time: u128) -> u64 {
    u64::try_from(time).unwrap_or(u64::MAX)
}
