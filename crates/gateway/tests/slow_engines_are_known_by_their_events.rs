//! Pattern: endpoints of one service differ in speed, and some turn slow for seconds.

use gateway::{EventIntervals, slowness_percent};

/// Time of an event of four tokens in a batch of a few requests.
const EVENT_US: u64 = 30_000;

#[test]
fn prompts_that_are_read_beside_do_not_make_an_engine_slow() {
    let mut intervals = EventIntervals::default();
    for number in 0..40 {
        let gap_us = if number % 2 == 0 { 62_000 } else { EVENT_US };
        intervals.record(number * 40, gap_us);
    }
    assert_eq!(intervals.lower_quartile(1_600), Some((40, EVENT_US)));
}

#[test]
fn an_engine_without_late_events_is_not_known() {
    let mut intervals = EventIntervals::default();
    for number in 0..10 {
        intervals.record(number, EVENT_US);
    }
    assert!(intervals.lower_quartile(20).is_some());
    assert_eq!(intervals.lower_quartile(10_000), None);
}

#[test]
fn only_engines_that_are_much_slower_than_the_median_are_slow() {
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
