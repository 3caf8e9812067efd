//! Pattern: a flood of events, and a reader of the output that stalls.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use slog::info;
use telemetry::{Level, logger_to};

const LINES_PER_SECOND: u32 = 50;

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Takes nothing until told so.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is gone the reader goes on.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn level() -> Level {
    "info".parse().unwrap()
}

fn second() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap().as_secs()
}

#[test]
fn a_flood_is_bounded_in_each_second() {
    let kept = Kept::default();
    let began = second();
    let log = logger_to(kept.clone(), level(), LINES_PER_SECOND);
    for number in 0..2_000 {
        info!(log, "request ended"; "number" => number);
    }
    drop(log);
    let seconds = second() - began + 1;
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let lines = text.lines().filter(|line| line.contains("request ended"));
    let lines = lines.count() as u64;
    assert!(lines >= u64::from(LINES_PER_SECOND), "{lines} lines");
    assert!(
        lines <= u64::from(LINES_PER_SECOND) * seconds,
        "{lines} lines in {seconds} seconds"
    );
}

#[test]
fn a_stalled_reader_holds_no_event_up_and_keeps_no_memory() {
    let (go_on, stalled): (Sender<()>, _) = channel();
    let log = logger_to(Stalled(stalled), level(), u32::MAX);
    // Many times what the queue holds; this returns although nothing is read.
    for number in 0..100_000 {
        info!(log, "request ended"; "number" => number);
    }
    drop(go_on);
}

#[test]
fn a_line_names_its_time_its_level_and_its_event() {
    let kept = Kept::default();
    let log = logger_to(kept.clone(), level(), LINES_PER_SECOND);
    info!(log, "endpoint left"; "endpoint" => "e1");
    drop(log);
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let line = text.lines().next().unwrap();
    assert!(line.starts_with("at_ms="), "{line}");
    let rest = "level=info event=\"endpoint left\" endpoint=e1";
    assert!(line.ends_with(rest), "{line}");
}
