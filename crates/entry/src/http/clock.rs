use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock; its times are microseconds since the entry started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn instant(self, time_us: u64) -> Instant {
        self.start + Duration::from_micros(time_us)
    }

    pub(crate) fn now_us(self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}
