//! Daily windows in local time, with and without clock changes.

mod common;

use common::{row, time, window};
use jiff::tz::TimeZoneDatabase;
use jiff::{Timestamp, ToSpan, civil::Date};
use quickcheck::{Gen, QuickCheck};
use table::Window;

const MINUTE_MS: u64 = 60_000;

fn unix_ms(instant: &str) -> u64 {
    let timestamp: Timestamp = instant.parse().unwrap();
    timestamp.as_millisecond().unsigned_abs()
}

fn assert_open_between(window: &Window, opens: &str, closes: &str) {
    let (opens_ms, closes_ms) = (unix_ms(opens), unix_ms(closes));
    assert!(!window.contains(opens_ms - 1), "open before {opens}");
    assert!(window.contains(opens_ms), "closed at {opens}");
    assert!(window.contains(closes_ms - 1), "closed before {closes}");
    assert!(!window.contains(closes_ms), "open at {closes}");
    assert_eq!(window.next_change_ms(opens_ms - 1), Some(opens_ms));
    assert_eq!(window.next_change_ms(opens_ms), Some(closes_ms));
}

#[test]
fn a_morning_window_keeps_its_local_time_when_clocks_go_forward() {
    let morning = window(time(8, 0), time(11, 30), "Europe/Sofia");
    assert_open_between(&morning, "2026-03-28T06:00:00Z", "2026-03-28T09:30:00Z");
    assert_open_between(&morning, "2026-03-29T05:00:00Z", "2026-03-29T08:30:00Z");
}

#[test]
fn a_morning_window_keeps_its_local_time_when_clocks_go_back() {
    let morning = window(time(8, 0), time(11, 30), "Europe/Sofia");
    assert_open_between(&morning, "2026-10-24T05:00:00Z", "2026-10-24T08:30:00Z");
    assert_open_between(&morning, "2026-10-25T06:00:00Z", "2026-10-25T09:30:00Z");
}

#[test]
fn a_window_that_starts_in_the_skipped_hour_opens_at_the_skip() {
    let early = window(time(3, 30), time(5, 0), "Europe/Sofia");
    assert_open_between(&early, "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z");
}

#[test]
fn a_window_in_the_repeated_hour_covers_both_passes_without_a_break() {
    let early = window(time(3, 30), time(5, 0), "Europe/Sofia");
    assert_open_between(&early, "2026-10-25T00:30:00Z", "2026-10-25T03:00:00Z");
}

#[test]
fn a_window_that_ends_where_the_repeated_hour_begins_is_not_prolonged() {
    let night = window(time(1, 0), time(3, 0), "Europe/Sofia");
    assert_open_between(&night, "2026-10-24T22:00:00Z", "2026-10-25T00:00:00Z");
}

#[test]
fn a_window_in_port_of_spain_is_the_same_all_year() {
    let morning = window(time(7, 15), time(9, 0), "America/Port_of_Spain");
    for date in ["2026-03-08", "2026-03-29", "2026-10-25", "2026-11-01"] {
        let (opens, closes) = (format!("{date}T11:15:00Z"), format!("{date}T13:00:00Z"));
        assert_open_between(&morning, &opens, &closes);
    }
}

#[test]
fn a_window_over_midnight_closes_on_the_following_day() {
    let night = window(time(22, 0), time(6, 0), "America/Port_of_Spain");
    assert_open_between(&night, "2026-05-01T02:00:00Z", "2026-05-01T10:00:00Z");
}

#[test]
fn a_row_takes_weight_and_priority_from_its_open_window() {
    let mut row = row(3);
    row.window = Some(window(time(8, 0), time(9, 0), "Europe/Sofia"));
    let before = row.weight_and_priority_at(unix_ms("2026-07-01T04:59:59Z"));
    let inside = row.weight_and_priority_at(unix_ms("2026-07-01T05:00:00Z"));
    assert_eq!((before.weight, before.priority), (3, 0));
    assert_eq!((inside.weight, inside.priority), (70, 7));
}

#[test]
fn a_window_in_a_time_zone_that_the_build_lacks_never_opens() {
    let window = window(time(0, 0), time(23, 59), "Europe/Atlantis");
    assert!(!window.contains(unix_ms("2026-07-01T12:00:00Z")));
    assert_eq!(window.next_change_ms(0), None);
}

/// First minute of the window of `date` and the minute after its last, found by trying every minute.
fn open_minutes_by_clock(
    window: &Window,
    date: Date,
    minutes: std::ops::Range<u64>,
) -> Option<[u64; 2]> {
    let zone = TimeZoneDatabase::bundled().get(&window.time_zone).unwrap();
    let at = |time: String, date: Date| date.to_datetime(time.parse().unwrap());
    let wraps = window.end <= window.start;
    let end_date = if wraps { date + 1.day() } else { date };
    let start = at(window.start.to_string(), date);
    let end = at(window.end.to_string(), end_date);
    let clock = |minute: u64| {
        let at_ms = i64::try_from(minute * MINUTE_MS).unwrap();
        zone.to_datetime(Timestamp::from_millisecond(at_ms).unwrap())
    };
    let opens = minutes.clone().find(|&minute| clock(minute) >= start)?;
    let closes = minutes.rev().find(|&minute| clock(minute) < end)? + 1;
    (opens < closes).then_some([opens, closes])
}

#[test]
fn windows_match_a_minute_by_minute_reference() {
    fn property(start: u16, end: u16, is_spring: bool) -> bool {
        let to_u8 = |number: u16| u8::try_from(number).unwrap();
        let local = |minute: u16| time(to_u8(minute / 60 % 24), to_u8(minute % 60));
        // Three of four times are on a half hour near the clock change.
        let near_clock_change = |minute: u16| match minute % 4 {
            0 => minute,
            _ => minute % 12 * 30,
        };
        let (start, end) = (
            local(near_clock_change(start)),
            local(near_clock_change(end)),
        );
        if start == end {
            return true;
        }
        let window = window(start, end, "Europe/Sofia");
        let (month, day) = if is_spring { (3, 29) } else { (10, 25) };
        let date = jiff::civil::date(2026, month, day);
        let first = unix_ms(&format!("{date}T00:00:00Z")) / MINUTE_MS - 3 * 24 * 60;
        let range = first..first + 6 * 24 * 60;
        let spans: Vec<[u64; 2]> = [-2, -1, 0, 1]
            .into_iter()
            .filter_map(|days| open_minutes_by_clock(&window, date + days.days(), range.clone()))
            .collect();
        let is_open = |minute: u64| spans.iter().any(|s| (s[0]..s[1]).contains(&minute));
        let day = unix_ms(&format!("{date}T00:00:00Z")) / MINUTE_MS;
        (day - 180..day + 360)
            .step_by(5)
            .chain(spans.iter().flatten().copied())
            .all(|minute| window.contains(minute * MINUTE_MS) == is_open(minute))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1500, 3))
        .tests(60)
        .quickcheck(property as fn(u16, u16, bool) -> bool);
}
