use crate::number::real;

/// Shortest time over which a pace is measured.
const SAMPLE_US_MIN: u64 = 1_000_000;

/// Part of a new sample in the average.
const AVERAGE_PART: f64 = 0.2;

/// How fast a queue's virtual time runs while requests wait.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    average: Option<f64>,
    since_us: u64,
    since_virtual_us: u64,
}

impl Pace {
    /// Virtual time for each unit of time, if measured.
    pub(crate) fn average(&self) -> Option<f64> {
        self.average
    }

    /// Starts over, as after a time in which nothing waited.
    pub(crate) fn restart(&mut self, now_us: u64, virtual_us: u64) {
        self.since_us = now_us;
        self.since_virtual_us = virtual_us;
    }

    /// Takes the virtual time at a service.
    pub(crate) fn sample(&mut self, now_us: u64, virtual_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.since_us);
        if elapsed_us < SAMPLE_US_MIN {
            return;
        }
        let sample = real(virtual_us - self.since_virtual_us) / real(elapsed_us);
        let average = self.average.unwrap_or(sample);
        self.average = Some(average + AVERAGE_PART * (sample - average));
        self.restart(now_us, virtual_us);
    }
}
