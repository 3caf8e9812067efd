use std::io::{self, Write};
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Logger, Never, OwnedKVList, Record, b, o, record_static};
use slog_async::Async;
use slog_logfmt::Logfmt;

use crate::Error;

/// Events kept while the output is slow; later ones are dropped and counted.
const QUEUED_EVENTS_MAX: usize = 4_096;

const MILLISECONDS_PER_SECOND: u64 = 1_000;

/// Lines written in a second where no setting says otherwise; each costs some microseconds.
pub const LINES_PER_SECOND_DEFAULT: u32 = 1_000;

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Level(slog::Level);

impl FromStr for Level {
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
/// Events wait in a bounded queue for a thread that writes, so that a stalled reader holds nothing
/// up. Lines beyond those allowed in a second are dropped, counted, and reported in the next one.
pub fn logger(level: Level, lines_per_second: u32) -> Logger {
    logger_to(io::stdout(), level, lines_per_second)
}

/// The same for another output.
pub fn logger_to(
    output: impl Write + Send + 'static,
    level: Level,
    lines_per_second: u32,
) -> Logger {
    let lines = Logfmt::new(output).set_prefix(write_event).build().fuse();
    let filtered = lines.filter_level(level.0).fuse();
    let limited = Limited {
        drain: filtered,
        lines_per_second,
        window: Mutex::new(Window::default()),
    };
    let queue = Async::new(limited.fuse())
        .chan_size(QUEUED_EVENTS_MAX)
        .build()
        .fuse();
    Logger::root(queue, o!())
}

/// Passes on a bounded number of lines in each second.
struct Limited<D> {
    drain: D,
    lines_per_second: u32,
    window: Mutex<Window>,
}

/// Lines of one second.
#[derive(Debug, Default)]
struct Window {
    dropped: u32,
    lines: u32,
    second: u64,
}

impl Window {
    /// Counts a line of a second; tells whether it is written, and how many lines of an earlier
    /// second were not.
    fn count(&mut self, second: u64, lines_per_second: u32) -> (bool, u32) {
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

impl<D: Drain<Ok = (), Err = Never>> Drain for Limited<D> {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let second = at_ms() / MILLISECONDS_PER_SECOND;
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let (is_written, dropped) = window.count(second, self.lines_per_second);
        drop(window);
        if dropped > 0 {
            let report = record_static!(slog::Level::Warning, "");
            let message = format_args!("log lines dropped");
            let pairs = b!("lines" => dropped);
            self.drain
                .log(&Record::new(&report, &message, pairs), values)?;
        }
        if is_written {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}

fn at_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Begins a line with the time since 1970 in UTC, the level and the event.
fn write_event(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let at_ms = at_ms();
    let level = record.level().as_str().to_lowercase();
    let event = record.msg().to_string();
    write!(line, "at_ms={at_ms} level={level} event={event:?} ")?;
    Ok(())
}
