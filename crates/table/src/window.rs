//! Daily time window in local civil time.
//!
//! - A window opens each local day at the first instant with its start time or a later local time. It
//!   closes after the last instant with a local time before its end.
//! - If a change to summer time skips the start or end, the instant of the change is used instead.
//! - If a change back repeats the hour of the start or end, the window covers both passes.
//! - A window whose end is before its start closes on the following day.

use jiff::Timestamp;
use jiff::civil::{Date, DateTime};
use jiff::tz::{AmbiguousOffset, Offset, TimeZone, TimeZoneDatabase};
use serde::{Deserialize, Serialize};

use crate::LocalTime;

/// Days after yesterday whose open periods are computed.
const LOOKAHEAD_DAYS: usize = 3;

/// Daily period of local time in which a row has another weight and priority.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Window {
    /// Local time at which the window closes; on the following day if it is before `start`.
    pub end: LocalTime,
    /// Priority inside the window.
    pub priority: i32,
    /// Local time at which the window opens.
    pub start: LocalTime,
    /// IANA name of the time zone, such as `Europe/Sofia`.
    pub time_zone: Box<str>,
    /// Weight inside the window.
    pub weight: u32,
}

impl Window {
    /// Whether the window is open at `now_ms`; always `false` if this build lacks the time zone.
    #[must_use]
    pub fn contains(&self, now_ms: u64) -> bool {
        let periods = self.open_periods_around(now_ms);
        is_in_any(&periods, now_ms)
    }

    /// First time after `now_ms` at which the window opens or closes.
    ///
    /// `None` if there is no change in the next days or this build lacks the time zone.
    #[must_use]
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let periods = self.open_periods_around(now_ms);
        let was_inside = is_in_any(&periods, now_ms);
        let mut boundaries_ms: Vec<u64> = periods
            .iter()
            .flat_map(|period| [period.start_ms, period.end_ms])
            .collect();
        boundaries_ms.sort_unstable();
        boundaries_ms.into_iter().find(|&boundary_ms| {
            boundary_ms > now_ms && is_in_any(&periods, boundary_ms) != was_inside
        })
    }

    /// Whether the time zone database of this build has the time zone.
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

    fn open_period_on(&self, zone: &TimeZone, date: Date) -> Option<OpenPeriod> {
        Some(OpenPeriod {
            end_ms: last_instant_ms(zone, self.end.on_date(self.end_date(date)?))?,
            start_ms: first_instant_ms(zone, self.start.on_date(date))?,
        })
    }

    fn open_periods_around(&self, now_ms: u64) -> Vec<OpenPeriod> {
        let Some(zone) = self.zone() else {
            return Vec::new();
        };
        let first = i64::try_from(now_ms)
            .ok()
            .and_then(|ms| Timestamp::from_millisecond(ms).ok())
            .and_then(|now| zone.to_datetime(now).date().yesterday().ok());
        std::iter::successors(first, |date| date.tomorrow().ok())
            .take(1 + LOOKAHEAD_DAYS)
            .filter_map(|date| self.open_period_on(&zone, date))
            .collect()
    }

    fn zone(&self) -> Option<TimeZone> {
        // The bundled database is the same on every instance of one build, unlike the system's.
        TimeZoneDatabase::bundled().get(&self.time_zone).ok()
    }
}

/// One opening of a window; `end_ms` is exclusive.
struct OpenPeriod {
    end_ms: u64,
    start_ms: u64,
}

fn first_instant_ms(zone: &TimeZone, time: DateTime) -> Option<u64> {
    match zone.to_ambiguous_timestamp(time).offset() {
        AmbiguousOffset::Unambiguous { offset } => instant_ms(offset, time),
        AmbiguousOffset::Gap { after, .. } => gap_start_ms(zone, after, time),
        AmbiguousOffset::Fold { before, .. } => instant_ms(before, time),
    }
}

/// Instant of the clock change that skips `time`.
///
/// The offset after the change maps `time` to an instant before it.
fn gap_start_ms(zone: &TimeZone, after: Offset, time: DateTime) -> Option<u64> {
    let before_gap = after.to_timestamp(time).ok()?;
    let transition = zone.following(before_gap).next()?;
    to_ms(transition.timestamp())
}

fn instant_ms(offset: Offset, time: DateTime) -> Option<u64> {
    to_ms(offset.to_timestamp(time).ok()?)
}

fn is_in_any(periods: &[OpenPeriod], now_ms: u64) -> bool {
    periods
        .iter()
        .any(|period| (period.start_ms..period.end_ms).contains(&now_ms))
}

fn last_instant_ms(zone: &TimeZone, time: DateTime) -> Option<u64> {
    match zone.to_ambiguous_timestamp(time).offset() {
        AmbiguousOffset::Unambiguous { offset } => instant_ms(offset, time),
        AmbiguousOffset::Gap { after, .. } => gap_start_ms(zone, after, time),
        AmbiguousOffset::Fold { before, after } => {
            let last_ms = instant_ms(after, time)?;
            // An end at the start of the repeated hour closes the window in the first pass, because no
            // earlier local time follows.
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

fn to_ms(timestamp: Timestamp) -> Option<u64> {
    u64::try_from(timestamp.as_millisecond()).ok()
}
