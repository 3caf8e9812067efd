use std::io::{self, Write};
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Logger, Never, OwnedKVList, Record, b, o, record_static};
use slog_async::Async;
use slog_logfmt::Logfmt;

use crate::Error;

/// Events queued while the output is slow; further ones are dropped and counted.
const QUEUED_EVENTS_MAX: usize = 4_096;

const MILLISECONDS_PER_SECOND: u64 = 1_000;

/// Default limit of log lines per second; writing a line takes some microseconds.
pub const LOG_LINES_PER_SECOND_DEFAULT: u32 = 1_000;

/// Minimum severity of logged events.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct LogLevel(slog::Level);

impl FromStr for LogLevel {
    type Err = Error;

    fn from_str(level: &str) -> Result<Self, Error> {
        slog::Level::from_str(level)
            .map(Self)
            .map_err(|()| Error::Level {
                level: level.to_owned(),
            })
    }
}

/// A logger that writes one line of key=value pairs per event to standard output.
///
/// A separate thread writes the events from a bounded queue, so that a stalled reader of the output
/// blocks no caller. Lines above the limit per second are dropped; a line in the next second
/// reports their number.
pub fn logger(level: LogLevel, lines_per_second: u32) -> Logger {
    logger_with_output(io::stdout(), level, lines_per_second)
}

/// Like [`logger`], for another output.
pub fn logger_with_output(
    output: impl Write + Send + 'static,
    level: LogLevel,
    lines_per_second: u32,
) -> Logger {
    let lines = Logfmt::new(output)
        .set_prefix(write_line_prefix)
        .build()
        .fuse();
    let filtered = lines.filter_level(level.0).fuse();
    let rate_limited = RateLimited {
        drain: filtered,
        lines_per_second,
        window: Mutex::new(SecondWindow::default()),
    };
    let queue = Async::new(rate_limited.fuse())
        .chan_size(QUEUED_EVENTS_MAX)
        .build()
        .fuse();
    Logger::root(queue, o!())
}

/// Drain that passes on a limited number of lines per second.
struct RateLimited<D> {
    drain: D,
    lines_per_second: u32,
    window: Mutex<SecondWindow>,
}

/// Counts of the lines of one second.
#[derive(Debug, Default)]
struct SecondWindow {
    dropped: u32,
    lines: u32,
    second: u64,
}

impl SecondWindow {
    /// Counts a line; returns whether to write it, and the lines dropped in the previous window.
    ///
    /// The second value is above zero only for the first line of a new second.
    fn count_line(&mut self, second: u64, lines_per_second: u32) -> (bool, u32) {
        let mut dropped = 0;
        if second != self.second {
            dropped = std::mem::take(&mut self.dropped);
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        let is_written = self.lines <= lines_per_second;
        if !is_written {
            self.dropped += 1;
        }
        (is_written, dropped)
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for RateLimited<D> {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let second = unix_time_ms() / MILLISECONDS_PER_SECOND;
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let (is_written, dropped) = window.count_line(second, self.lines_per_second);
        drop(window);
        if dropped > 0 {
            let location = record_static!(slog::Level::Warning, "");
            let message = format_args!("log lines dropped");
            let pairs = b!("lines" => dropped);
            self.drain
                .log(&Record::new(&location, &message, pairs), values)?;
        }
        if is_written {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}

fn unix_time_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Writes the start of a line: Unix time in milliseconds, level and event.
fn write_line_prefix(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let at_ms = unix_time_ms();
    let level = record.level().as_str().to_lowercase();
    let event = record.msg().to_string();
    write!(line, "at_ms={at_ms} level={level} event={event:?} ")?;
    Ok(())
}
