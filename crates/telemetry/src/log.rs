use std::io;
use std::str::FromStr;

use slog::{Drain, Logger, o};
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

/// A logger that writes one line of key=value pairs per event to standard error.
pub fn logger(level: Level) -> Logger {
    let lines = Logfmt::new(io::stderr()).build().fuse();
    let filtered = lines.filter_level(level.0).fuse();
    let queue = Async::new(filtered)
        .chan_size(QUEUED_EVENTS_MAX)
        .build()
        .fuse();
    Logger::root(queue, o!())
}
