use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::engine::wall_clock_us;

/// Time over which the starts of the streams are spread.
const START_SPREAD_US: u64 = 1_000_000;

/// Process that the load connects to.
#[derive(Debug, Clone, Copy)]
pub enum LoadTarget {
    Engine,
    Entry,
}

/// Parameters of one stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamLoad {
    pub address: SocketAddr,
    pub interval_us: u64,
    /// First tokens of each stream that are not measured, because other streams are still starting.
    pub skipped_tokens: u32,
    pub target: LoadTarget,
    pub tokens: u32,
}

/// Empty histogram of latencies up to a minute.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

fn request(load: StreamLoad, number: u64) -> String {
    let StreamLoad {
        interval_us,
        tokens,
        ..
    } = load;
    let body =
        format!("\"model\":\"m\",\"prompt\":\"every {interval_us}\",\"max_tokens\":{tokens}");
    let (path, body) = match load.target {
        LoadTarget::Entry => (
            "/v1/completions".to_owned(),
            format!("{{{body},\"stream\":true}}"),
        ),
        LoadTarget::Engine => (
            format!("/generations/{number:032x}"),
            format!("{{{body},\"priority\":0}}"),
        ),
    };
    format!(
        "POST {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer load\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Runs one stream and records the latency of each token.
///
/// Panics if a token is lost, repeated or out of order.
pub async fn run_stream(load: StreamLoad, number: u64, latencies_us: &mut Histogram<u64>) {
    let mut connection = TcpStream::connect(load.address).await.unwrap();
    connection.set_nodelay(true).unwrap();
    let request = request(load, number);
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::with_capacity(16 << 10);
    let mut index = 0;
    while index < load.tokens {
        assert!(
            connection.read_buf(&mut bytes).await.unwrap() > 0,
            "the stream ended at token {index}: {}",
            String::from_utf8_lossy(&bytes)
        );
        let now_us = wall_clock_us();
        let consumed = record_tokens(
            &bytes,
            &mut index,
            load.skipped_tokens,
            now_us,
            latencies_us,
        );
        bytes.drain(..consumed);
    }
    while !bytes.ends_with(b"0\r\n\r\n") {
        assert!(connection.read_buf(&mut bytes).await.unwrap() > 0, "no end");
    }
}

/// Records the complete tokens in `bytes`; returns the number of bytes consumed.
fn record_tokens(
    bytes: &[u8],
    index: &mut u32,
    skipped_tokens: u32,
    now_us: u64,
    latencies_us: &mut Histogram<u64>,
) -> usize {
    let prefix = b"\"text\":\"";
    let mut consumed = 0;
    while let Some(begin) = find(&bytes[consumed..], prefix) {
        let token = &bytes[consumed + begin + prefix.len()..];
        let Some(end) = token.iter().position(|&byte| byte == b'"') else {
            break;
        };
        let text = std::str::from_utf8(&token[..end]).unwrap();
        consumed += begin + prefix.len() + end;
        let Some((number, sent_us)) = text.split_once('@') else {
            continue;
        };
        assert_eq!(
            number.parse(),
            Ok(*index),
            "a token is lost or out of order"
        );
        let sent_us: u64 = sent_us.parse().unwrap();
        if *index >= skipped_tokens {
            latencies_us.saturating_record(now_us.saturating_sub(sent_us).max(1));
        }
        *index += 1;
    }
    consumed
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Runs `count` concurrent streams.
pub async fn run_streams(load: StreamLoad, count: u64) -> Histogram<u64> {
    let tasks: Vec<_> = (0..count)
        .map(|number| {
            tokio::spawn(async move {
                let wait_us = START_SPREAD_US * number / count;
                tokio::time::sleep(Duration::from_micros(wait_us)).await;
                let mut latencies_us = histogram();
                run_stream(load, number, &mut latencies_us).await;
                latencies_us
            })
        })
        .collect();
    let mut total = histogram();
    for task in tasks {
        total.add(task.await.unwrap()).unwrap();
    }
    total
}
