/// Monotonic time in ms; a backward step of the host's clock counts as no time passed.
#[derive(Debug)]
pub(crate) struct MonotonicClock {
    elapsed_ms: u64,
    last_ms: u64,
}

impl MonotonicClock {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            elapsed_ms: 0,
            last_ms: now_ms,
        }
    }

    pub(crate) fn advance(&mut self, now_ms: u64) {
        self.elapsed_ms += now_ms.saturating_sub(self.last_ms);
        self.last_ms = now_ms;
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.elapsed_ms
    }
}
