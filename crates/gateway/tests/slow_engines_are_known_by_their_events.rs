//! Endpoints of one service differ in speed, and some turn slow for seconds.

use gateway::{EventIntervals, slowness_percent};

/// Interval between events of four tokens in a small batch.
const INTERVAL_US: u64 = 30_000;

#[test]
fn prefill_of_other_prompts_does_not_raise_the_lower_quartile() {
    let mut intervals = EventIntervals::default();
    for number in 0..40 {
        let interval_us = if number % 2 == 0 { 62_000 } else { INTERVAL_US };
        intervals.record(number * 40, interval_us);
    }
    assert_eq!(intervals.lower_quartile(1_600), Some((40, INTERVAL_US)));
}

#[test]
fn old_intervals_do_not_count() {
    let mut intervals = EventIntervals::default();
    for number in 0..10 {
        intervals.record(number, INTERVAL_US);
    }
    assert!(intervals.lower_quartile(20).is_some());
    assert_eq!(intervals.lower_quartile(10_000), None);
}

#[test]
fn only_engines_much_slower_than_the_median_count_as_slow() {
    let intervals_us = [
        Some(30_000),
        Some(32_000),
        None,
        Some(39_000),
        Some(29_000),
        Some(105_000),
    ];
    assert_eq!(
        slowness_percent(&intervals_us),
        [100, 100, 100, 121, 100, 328]
    );
    assert_eq!(slowness_percent(&[None, None]), [100, 100]);
}
