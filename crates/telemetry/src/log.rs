use std::io::{self, Write};
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, Logger, Record, o};
use slog_async::Async;
use slog_logfmt::Logfmt;

use crate::Error;

/// Events kept while the output is slow; later ones are dropped and counted.
const QUEUED_EVENTS_MAX: usize = 4_096;

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
pub fn logger(level: Level) -> Logger {
    let lines = Logfmt::new(io::stdout())
        .set_prefix(write_event)
        .build()
        .fuse();
    let filtered = lines.filter_level(level.0).fuse();
    let queue = Async::new(filtered)
        .chan_size(QUEUED_EVENTS_MAX)
        .build()
        .fuse();
    Logger::root(queue, o!())
}

/// Begins a line with the time since 1970 in UTC, the level and the event.
fn write_event(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.unwrap_or_default().as_millis();
    let level = record.level().as_str().to_lowercase();
    let event = record.msg().to_string();
    write!(line, "at_ms={at_ms} level={level} event={event:?} ")?;
    Ok(())
}
