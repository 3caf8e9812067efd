use crate::number::to_f64;

/// Shortest time over which a sample of the rate is taken.
const SAMPLE_US_MIN: u64 = 1_000_000;

/// Weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Moving average of a queue's virtual time per unit of time, while requests wait.
#[derive(Debug, Default)]
pub(crate) struct VirtualTimeRate {
    average: Option<f64>,
    since_us: u64,
    since_virtual_us: u64,
}

impl VirtualTimeRate {
    /// Virtual time per unit of time, once it was sampled.
    pub(crate) fn average(&self) -> Option<f64> {
        self.average
    }

    /// Starts a new sample, as after a time in which no request waited.
    pub(crate) fn restart(&mut self, now_us: u64, virtual_us: u64) {
        self.since_us = now_us;
        self.since_virtual_us = virtual_us;
    }

    /// Records the virtual time at which a request is served.
    pub(crate) fn record(&mut self, now_us: u64, virtual_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.since_us);
        if elapsed_us < SAMPLE_US_MIN {
            return;
        }
        let sample = to_f64(virtual_us - self.since_virtual_us) / to_f64(elapsed_us);
        let average = self.average.unwrap_or(sample);
        self.average = Some(average + SMOOTHING_FACTOR * (sample - average));
        self.restart(now_us, virtual_us);
    }
}
