use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use jiff::SignedDuration;
use jiff::civil::{Date, DateTime, Time};
use serde::{Deserialize, Serialize};

use crate::Error;

const MINUTES_PER_DAY: u16 = 24 * 60;

/// Local time of day with a resolution of one minute.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct LocalTime {
    minute_of_day: u16,
}

impl LocalTime {
    /// Creates a time of day; `None` unless `hour` is 0 to 23 and `minute` is 0 to 59.
    #[must_use]
    pub fn new(hour: u8, minute: u8) -> Option<Self> {
        (hour < 24 && minute < 60).then(|| Self {
            minute_of_day: u16::from(hour) * 60 + u16::from(minute),
        })
    }

    pub(crate) fn on_date(self, date: Date) -> DateTime {
        assert!(
            self.minute_of_day < MINUTES_PER_DAY,
            "time of day past midnight"
        );
        let minutes = i64::from(self.minute_of_day);
        let time = Time::midnight().wrapping_add(SignedDuration::from_mins(minutes));
        date.to_datetime(time)
    }
}

impl Display for LocalTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:02}:{:02}",
            self.minute_of_day / 60,
            self.minute_of_day % 60
        )
    }
}

impl From<LocalTime> for String {
    fn from(time: LocalTime) -> Self {
        time.to_string()
    }
}

impl FromStr for LocalTime {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            // Spreadsheets append seconds to a saved time of day.
            let text = text
                .strip_suffix(":00")
                .filter(|t| t.contains(':'))
                .unwrap_or(text);
            let (hour, minute) = text.split_once(':')?;
            let has_digits = |part: &str, digits_min: usize| {
                (digits_min..=2).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_digit())
            };
            if !has_digits(hour, 1) || !has_digits(minute, 2) {
                return None;
            }
            Self::new(hour.parse().ok()?, minute.parse().ok()?)
        };
        parse().ok_or_else(|| Error::LocalTime {
            text: text.chars().take(16).collect(),
        })
    }
}

impl TryFrom<String> for LocalTime {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}
