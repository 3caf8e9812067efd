//! Learns how fast an engine writes.
//!
//! Pattern: endpoints of one service differ in speed, and some turn slow for seconds. The time
//! between two events grows with the batch and with every prompt that is read beside it, so the
//! lower quartile is taken: the time of a step in which no prompt is read.

use std::collections::VecDeque;

/// Time for which an event counts; a slow engine is known within it.
const WINDOW_MS: u64 = 2_500;

/// Events that are kept; they give the quartile to some percent.
const EVENTS_MAX: usize = 48;

/// Events below which nothing is known.
const EVENTS_MIN: usize = 4;

/// Pace of the median endpoint below which another one counts as slow, in percent. Batches of
/// different size make less of a difference.
const SLOW_PERCENT: u64 = 118;

/// Slowness up to which endpoints are told apart, in percent.
const SLOW_PERCENT_MAX: u64 = 1_000;

/// Times between the late events of one engine.
#[derive(Debug, Default)]
pub struct EventIntervals {
    /// Time of each event, and the time since the one before it, in µs.
    events: VecDeque<(u64, u64)>,
}

impl EventIntervals {
    /// Notes an event that came `gap_us` after the one before it.
    pub fn record(&mut self, now_ms: u64, gap_us: u64) {
        self.events.push_back((now_ms, gap_us));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Events that count, and their typical time; none where there are too few.
    pub fn lower_quartile(&mut self, now_ms: u64) -> Option<(u32, u64)> {
        let is_old = |event: &mut (u64, u64)| event.0 + WINDOW_MS <= now_ms;
        while self.events.pop_front_if(is_old).is_some() {}
        let count = self.events.len();
        if count < EVENTS_MIN {
            return None;
        }
        let mut gaps_us: Vec<u64> = self.events.iter().map(|event| event.1).collect();
        let (_, quartile_us, _) = gaps_us.select_nth_unstable(count / 4);
        Some((u32::try_from(count).unwrap_or(u32::MAX), *quartile_us))
    }
}

/// Slowness of each endpoint of one service, in percent of the median; 100 for all that are not
/// much slower or not known.
#[must_use]
pub fn slowness_percent(intervals_us: &[Option<u64>]) -> Vec<u64> {
    let mut known: Vec<u64> = intervals_us.iter().copied().flatten().collect();
    known.sort_unstable();
    let median_us = known.get(known.len() / 2).copied().unwrap_or_default();
    let slowness = |interval_us: &Option<u64>| {
        let percent = interval_us.map_or(100, |interval_us| interval_us * 100 / median_us.max(1));
        if percent < SLOW_PERCENT {
            return 100;
        }
        percent.min(SLOW_PERCENT_MAX)
    };
    intervals_us.iter().map(slowness).collect()
}
