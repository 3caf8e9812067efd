//! Daily window in local civil time.
//!
//! A window opens each local day at the first moment at which clocks show its start or later, and
//! closes after the last moment at which they show a time before its end. Where clocks skip the
//! start or end, the moment of the skip stands for it; a window that begins or ends within an hour
//! that clocks show twice covers both. A window whose end is before its start closes on the
//! following day.

use jiff::Timestamp;
use jiff::civil::{Date, DateTime};
use jiff::tz::{AmbiguousOffset, Offset, TimeZone, TimeZoneDatabase};
use serde::{Deserialize, Serialize};

use crate::LocalTime;

const DAYS_LOOKED_AHEAD: usize = 3;

/// Daily span of local time with a weight and priority of its own.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Window {
    /// Local time at which it closes; on the following day where it is before `start`.
    pub end: LocalTime,
    /// Priority inside the window.
    pub priority: i32,
    /// Local time at which it opens.
    pub start: LocalTime,
    /// IANA name of the time zone, such as `Europe/Sofia`.
    pub time_zone: Box<str>,
    /// Weight inside the window.
    pub weight: u32,
}

impl Window {
    /// Whether the window is open at `now_ms`; never where this build does not know the time zone.
    #[must_use]
    pub fn contains(&self, now_ms: u64) -> bool {
        let spans = self.spans_around(now_ms);
        is_inside(&spans, now_ms)
    }

    /// First time after `now_ms` at which the window opens or closes.
    #[must_use]
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let spans = self.spans_around(now_ms);
        let was_inside = is_inside(&spans, now_ms);
        let mut edges: Vec<u64> = spans
            .iter()
            .flat_map(|span| [span.start_ms, span.end_ms])
            .collect();
        edges.sort_unstable();
        edges
            .into_iter()
            .find(|&edge_ms| edge_ms > now_ms && is_inside(&spans, edge_ms) != was_inside)
    }

    /// Whether this build knows the time zone.
    #[must_use]
    pub fn is_time_zone_known(&self) -> bool {
        self.zone().is_some()
    }

    fn end_date(&self, date: Date) -> Option<Date> {
        if self.end > self.start {
            return Some(date);
        }
        date.tomorrow().ok()
    }

    fn span_on(&self, zone: &TimeZone, date: Date) -> Option<Span> {
        Some(Span {
            end_ms: last_instant_ms(zone, self.end.on(self.end_date(date)?))?,
            start_ms: first_instant_ms(zone, self.start.on(date))?,
        })
    }

    fn spans_around(&self, now_ms: u64) -> Vec<Span> {
        let Some(zone) = self.zone() else {
            return Vec::new();
        };
        let first = i64::try_from(now_ms)
            .ok()
            .and_then(|ms| Timestamp::from_millisecond(ms).ok())
            .and_then(|now| zone.to_datetime(now).date().yesterday().ok());
        std::iter::successors(first, |date| date.tomorrow().ok())
            .take(1 + DAYS_LOOKED_AHEAD)
            .filter_map(|date| self.span_on(&zone, date))
            .collect()
    }

    fn zone(&self) -> Option<TimeZone> {
        // The bundled database is the same on every instance of one build; the system's is not.
        TimeZoneDatabase::bundled().get(&self.time_zone).ok()
    }
}

struct Span {
    end_ms: u64,
    start_ms: u64,
}

fn first_instant_ms(zone: &TimeZone, time: DateTime) -> Option<u64> {
    match zone.to_ambiguous_timestamp(time).offset() {
        AmbiguousOffset::Unambiguous { offset } => instant_ms(offset, time),
        AmbiguousOffset::Gap { after, .. } => skip_ms(zone, after, time),
        AmbiguousOffset::Fold { before, .. } => instant_ms(before, time),
    }
}

fn instant_ms(offset: Offset, time: DateTime) -> Option<u64> {
    to_ms(offset.to_timestamp(time).ok()?)
}

fn is_inside(spans: &[Span], now_ms: u64) -> bool {
    spans
        .iter()
        .any(|span| (span.start_ms..span.end_ms).contains(&now_ms))
}

fn last_instant_ms(zone: &TimeZone, time: DateTime) -> Option<u64> {
    match zone.to_ambiguous_timestamp(time).offset() {
        AmbiguousOffset::Unambiguous { offset } => instant_ms(offset, time),
        AmbiguousOffset::Gap { after, .. } => skip_ms(zone, after, time),
        AmbiguousOffset::Fold { before, after } => {
            let last_ms = instant_ms(after, time)?;
            // At the very start of a repeated hour, no clock shows a time before it afterwards.
            let is_start = offset_before(zone, last_ms)? == before;
            if is_start {
                instant_ms(before, time)
            } else {
                Some(last_ms)
            }
        }
    }
}

fn offset_before(zone: &TimeZone, at_ms: u64) -> Option<Offset> {
    let before_ms = i64::try_from(at_ms).ok()? - 1;
    let before = Timestamp::from_millisecond(before_ms).ok()?;
    Some(zone.to_offset(before))
}

/// Moment at which clocks skip `time`; the offset after the skip places `time` before it.
fn skip_ms(zone: &TimeZone, after: Offset, time: DateTime) -> Option<u64> {
    let before_skip = after.to_timestamp(time).ok()?;
    let skip = zone.following(before_skip).next()?;
    to_ms(skip.timestamp())
}

fn to_ms(timestamp: Timestamp) -> Option<u64> {
    u64::try_from(timestamp.as_millisecond()).ok()
}
