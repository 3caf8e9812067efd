use std::collections::VecDeque;

/// Time for which an observation counts.
const WINDOW_MS: u64 = 20_000;

/// Observations that are kept; the newest replace the oldest.
const OBSERVATIONS_MAX: usize = 16;

/// Fewest observations that give an estimate.
const OBSERVATIONS_MIN: usize = 4;

/// Slowness from which the engines of a service count as slower than assumed. Below it, what else a
/// first event waits for makes the difference.
const SLOWNESS_MIN_PERCENT: u64 = 150;

/// Upper limit of the slowness.
const SLOWNESS_MAX_PERCENT: u64 = 1_000;

/// Change of the estimate, in percentage points, from which it is reported.
const REPORTED_CHANGE_MIN: u64 = 25;

/// Shortest assumed prefill that is observed; the network dominates shorter ones.
const EXPECTED_MS_MIN: u64 = 100;

/// Estimates how much slower the engines of one service prefill than assumed.
///
/// Each observation compares the time to the first event with the time that the prompts which waited
/// for prefill were assumed to take. Batches, cold engines, late loads and preempted requests make
/// single observations long, so the lower quartile counts.
#[derive(Debug, Default)]
pub struct PrefillSlowness {
    /// Time and slowness of each observation, oldest first.
    observations: VecDeque<(u64, u64)>,
    /// Estimate that was reported last; 0 before the first one.
    reported_percent: u64,
}

impl PrefillSlowness {
    /// Adds a prompt whose first event came after `observed_ms`.
    pub fn record(&mut self, now_ms: u64, expected_ms: u64, observed_ms: u64) {
        if expected_ms < EXPECTED_MS_MIN {
            return;
        }
        let percent = observed_ms * 100 / expected_ms;
        self.observations.push_back((now_ms, percent));
        if self.observations.len() > OBSERVATIONS_MAX {
            self.observations.pop_front();
        }
    }

    /// Estimate and the number of observations behind it, if it has changed much since it was reported.
    pub fn changed(&mut self, now_ms: u64) -> Option<(u64, usize)> {
        let percent = self.percent(now_ms);
        let reported_percent = self.reported_percent.max(100);
        if percent.abs_diff(reported_percent) < REPORTED_CHANGE_MIN {
            return None;
        }
        self.reported_percent = percent;
        Some((percent, self.observations.len()))
    }

    /// Prefill time in percent of the assumed one; 100 unless recent prompts took much longer.
    #[must_use]
    pub fn percent(&self, now_ms: u64) -> u64 {
        let recent = self.observations.iter();
        let recent = recent.filter(|observation| observation.0 + WINDOW_MS > now_ms);
        let mut percents: Vec<u64> = recent.map(|observation| observation.1).collect();
        if percents.len() < OBSERVATIONS_MIN {
            return 100;
        }
        let at = percents.len() / 4;
        let (_, quartile, _) = percents.select_nth_unstable(at);
        if *quartile < SLOWNESS_MIN_PERCENT {
            return 100;
        }
        (*quartile).min(SLOWNESS_MAX_PERCENT)
    }
}
