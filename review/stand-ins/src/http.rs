//! Smallest HTTP/1.1 client that the stand-ins need: one request on a new connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Response with its head in lowercase.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// Body as received; chunks with their lengths.
    pub body: Vec<u8>,
    pub head: String,
}

impl Response {
    /// Time after which the client may come back.
    pub fn retry_after(&self) -> Option<Duration> {
        let value = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix("retry-after:"))?;
        Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
    }
}

/// Sends a request and reads the response within `timeout`.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Response> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        if let Some(response) = parse(&received) {
            return Ok(response);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Error::new(ErrorKind::TimedOut, "no response in time"));
        }
        stream.set_read_timeout(Some(left))?;
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "no complete response"));
        }
        received.extend_from_slice(&buffer[..read]);
    }
}

/// Parses a response with a length or in chunks; `None` while it is incomplete.
fn parse(received: &[u8]) -> Option<Response> {
    let head_end = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    if head.contains("transfer-encoding: chunked") {
        let body = received[head_end..].to_vec();
        return body
            .ends_with(b"0\r\n\r\n")
            .then_some(Response { status, body, head });
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(Some(0), |length| length.trim().parse().ok())?;
    let body = received.get(head_end..head_end + length)?.to_vec();
    Some(Response { status, body, head })
}
