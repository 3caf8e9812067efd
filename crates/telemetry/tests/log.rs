//! Rate limit, line format, and events logged while the reader of the output stalls.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use slog::info;
use telemetry::{LogLevel, logger_with_output};

const LINES_PER_SECOND: u32 = 50;

/// Output that keeps what is written to it.
#[derive(Clone, Default)]
struct BufferOutput(Arc<Mutex<Vec<u8>>>);

impl Write for BufferOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output whose writes block until the channel's sender is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Nothing is sent: receiving ends with an error once the sender is dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn info_level() -> LogLevel {
    "info".parse().unwrap()
}

fn unix_time_s() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap().as_secs()
}

#[test]
fn lines_per_second_are_limited() {
    let output = BufferOutput::default();
    let start_s = unix_time_s();
    let log = logger_with_output(output.clone(), info_level(), LINES_PER_SECOND);
    for number in 0..2_000 {
        info!(log, "request ended"; "number" => number);
    }
    drop(log);
    let seconds = unix_time_s() - start_s + 1;
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines = text.lines().filter(|line| line.contains("request ended"));
    let lines = lines.count() as u64;
    assert!(lines >= u64::from(LINES_PER_SECOND), "{lines} lines");
    assert!(
        lines <= u64::from(LINES_PER_SECOND) * seconds,
        "{lines} lines in {seconds} seconds"
    );
}

#[test]
fn logging_does_not_block_while_the_output_is_blocked() {
    let (unblock, unblocked): (Sender<()>, _) = channel();
    let log = logger_with_output(BlockedOutput(unblocked), info_level(), u32::MAX);
    // Many times the queue's capacity: each call must return although nothing is written.
    for number in 0..100_000 {
        info!(log, "request ended"; "number" => number);
    }
    drop(unblock);
}

#[test]
fn a_line_holds_time_level_and_event() {
    let output = BufferOutput::default();
    let log = logger_with_output(output.clone(), info_level(), LINES_PER_SECOND);
    info!(log, "endpoint left"; "endpoint" => "e1");
    drop(log);
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let line = text.lines().next().unwrap();
    assert!(line.starts_with("at_ms="), "{line}");
    let line_end = "level=info event=\"endpoint left\" endpoint=e1";
    assert!(line.ends_with(line_end), "{line}");
}
