//! Estimates how fast an engine decodes from the intervals between its events.
//!
//! Endpoints of one service differ in speed, and some turn slow for seconds. The interval between
//! two events grows with the batch and with every prompt in prefill, so the lower quartile is
//! used: the duration of a step without prefill.

use std::collections::VecDeque;

/// Time for which an interval counts; a slow engine is detected within it.
const WINDOW_MS: u64 = 2_500;

/// Intervals that are kept; they give the quartile to within a few percent.
const INTERVALS_MAX: usize = 48;

/// Fewest intervals that give a quartile.
const INTERVALS_MIN: usize = 4;

/// Slowness from which an endpoint counts as slow. Batches of different size make a smaller
/// difference.
const SLOWNESS_MIN_PERCENT: u64 = 118;

/// Upper limit of the slowness.
const SLOWNESS_MAX_PERCENT: u64 = 1_000;

/// Recent intervals between the events of one engine.
#[derive(Debug, Default)]
pub struct EventIntervals {
    /// Time of each event in ms, and the interval since the previous event in µs.
    events: VecDeque<(u64, u64)>,
}

impl EventIntervals {
    /// Adds the interval of an event that arrived `interval_us` after the previous one.
    pub fn record(&mut self, now_ms: u64, interval_us: u64) {
        self.events.push_back((now_ms, interval_us));
        if self.events.len() > INTERVALS_MAX {
            self.events.pop_front();
        }
    }

    /// Count of recent intervals and their lower quartile in µs; `None` if there are too few.
    pub fn lower_quartile(&mut self, now_ms: u64) -> Option<(u32, u64)> {
        let is_expired = |event: &mut (u64, u64)| event.0 + WINDOW_MS <= now_ms;
        while self.events.pop_front_if(is_expired).is_some() {}
        let count = self.events.len();
        if count < INTERVALS_MIN {
            return None;
        }
        let mut intervals_us: Vec<u64> = self.events.iter().map(|event| event.1).collect();
        let (_, quartile_us, _) = intervals_us.select_nth_unstable(count / 4);
        Some((u32::try_from(count).unwrap_or(u32::MAX), *quartile_us))
    }
}

/// Event interval of each endpoint of one service, in percent of the median; 100 for endpoints
/// that are not much slower or whose interval is unknown.
#[must_use]
pub fn slowness_percent(intervals_us: &[Option<u64>]) -> Vec<u64> {
    let mut known_us: Vec<u64> = intervals_us.iter().copied().flatten().collect();
    known_us.sort_unstable();
    let median_us = known_us
        .get(known_us.len() / 2)
        .copied()
        .unwrap_or_default();
    let slowness = |interval_us: &Option<u64>| {
        let percent = interval_us.map_or(100, |interval_us| interval_us * 100 / median_us.max(1));
        if percent < SLOWNESS_MIN_PERCENT {
            return 100;
        }
        percent.min(SLOWNESS_MAX_PERCENT)
    };
    intervals_us.iter().map(slowness).collect()
}
