//! Measures memory, time and message size of the origins of streams.
//!
//! Run with `cargo run --release -p registry --example stream_origin_slopes -- STREAMS`. Use one
//! process per size, since memory freed by an earlier size would distort the next result.

use std::fs;
use std::time::Instant;

use registry::{BegunStreams, StreamOrigin, StreamOrigins};

const BATCH_STREAMS: usize = 10;
const LOOKUPS: usize = 100_000;
const STREAMS_DEFAULT: usize = 500_000;

/// Bytes that bincode, which carries the calls, writes before a sequence or text.
const LENGTH_BYTES: usize = 8;

fn request_id(number: usize) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn batch(first: usize) -> BegunStreams {
    BegunStreams {
        origin: StreamOrigin {
            service: "forge-llm".to_owned(),
            software_version: format!("v1.{}", first % 3),
        },
        request_ids: (first..first + BATCH_STREAMS).map(request_id).collect(),
    }
}

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the process has a status file");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: usize = kilobytes
        .and_then(|text| text.parse().ok())
        .expect("the status file has a resident size");
    kilobytes * 1024
}

fn main() {
    let argument = std::env::args().nth(1);
    let streams = argument.map_or(STREAMS_DEFAULT, |text| {
        text.parse().expect("STREAMS is a number")
    });
    let mut origins = StreamOrigins::default();
    let bytes_before = resident_bytes();
    let started_at = Instant::now();
    for first in (0..streams).step_by(BATCH_STREAMS) {
        origins.record(0, batch(first));
    }
    let record_time = started_at.elapsed();
    let bytes = resident_bytes() - bytes_before;
    let started_at = Instant::now();
    let found = (0..LOOKUPS).filter(|number| origins.find(0, &request_id(*number)).is_some());
    let found = found.count();
    let lookup_time = started_at.elapsed();
    let id_bytes = request_id(0).len() + LENGTH_BYTES;
    println!(
        "streams={streams} record_ns={} lookup_ns={} found={found} resident_bytes_per_stream={} \
         message_bytes_per_stream={id_bytes}",
        record_time.as_nanos() / streams as u128,
        lookup_time.as_nanos() / LOOKUPS as u128,
        bytes / streams,
    );
}
