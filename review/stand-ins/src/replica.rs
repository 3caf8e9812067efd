//! Replicas as PROTOCOL.md describes them: each serves requests at an address and registers itself.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Response, request};
use crate::record::Record;

/// Time between two heartbeats; `heartbeat_ms` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// A heartbeat is acknowledged if the answer comes within a second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(20);

/// What a replica answers.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Kind {
    /// A body with a length.
    Plain,
    /// Three events.
    Stream,
}

/// One lifetime of a replica.
pub struct Replica {
    pub address: SocketAddr,
    pub id: String,
    pub kind: Kind,
    pub service: &'static str,
    born_ms: u64,
    is_running: AtomicBool,
    record: Arc<Record>,
    runs: AtomicU64,
    sequence: AtomicU64,
}

impl Replica {
    /// Starts to serve requests and to send heartbeats.
    pub fn spawn(
        id: &str,
        service: &'static str,
        kind: Kind,
        ip: Ipv4Addr,
        registries: Vec<SocketAddr>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let replica = Arc::new(Self {
            address: listener.local_addr().expect("it is bound"),
            born_ms: unix_ms(),
            id: id.to_owned(),
            is_running: AtomicBool::new(true),
            kind,
            record: Arc::clone(record),
            runs: AtomicU64::new(0),
            sequence: AtomicU64::new(1),
            service,
        });
        let server = Arc::clone(&replica);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                spawn(move || drop(server.serve(stream)));
            }
        });
        let sender = Arc::clone(&replica);
        spawn(move || sender.send_heartbeats(&registries));
        replica
    }

    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    fn send_heartbeats(&self, registries: &[SocketAddr]) {
        let mut at = 0;
        let mut is_known = false;
        while self.is_running.load(Ordering::Relaxed) {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
            let body = heartbeat(self.service, self.address, self.born_ms, sequence);
            let sent = put_heartbeat(registries[at], &self.id, &body);
            let is_acknowledged = sent.is_ok_and(|response| response.status == 200);
            if is_acknowledged != is_known {
                is_known = is_acknowledged;
                let state = if is_known {
                    "acknowledged"
                } else {
                    "not acknowledged"
                };
                self.record
                    .line(&format!("heartbeat {sequence} of {} {state}", self.id));
            }
            if is_acknowledged {
                sleep(HEARTBEAT_INTERVAL);
            } else {
                at = (at + 1) % registries.len();
                sleep(Duration::from_millis(100));
            }
        }
    }

    /// Serves the requests of one connection.
    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                if reader.read_until(b'\n', &mut head)? == 0 {
                    return Ok(());
                }
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let header = |name: &str| {
                head.lines().find_map(|line| {
                    let (found, value) = line.split_once(':')?;
                    found
                        .eq_ignore_ascii_case(name)
                        .then(|| value.trim().to_owned())
                })
            };
            let length = header("content-length").map_or(0, |length| length.parse().unwrap_or(0));
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let request_id = header("x-request-id").unwrap_or_default();
            if request_id.is_empty() {
                let refusal =
                    "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(refusal.as_bytes())?;
                continue;
            }
            if header("x-expect-replica").is_some_and(|expected| expected != self.id) {
                let refusal = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(refusal.as_bytes())?;
                continue;
            }
            self.runs.fetch_add(1, Ordering::Relaxed);
            sleep(WORK);
            let stamp = format!(
                "X-Request-Id: {request_id}\r\nX-Replica-Stamp: {}\r\n",
                self.id
            );
            let answer = match self.kind {
                Kind::Plain => format!("HTTP/1.1 200 OK\r\n{stamp}Content-Length: 6\r\n\r\nbooked"),
                Kind::Stream => {
                    let events =
                        (1..=3).map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
                    let chunks = events.map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
                    let chunks: String = chunks.collect();
                    format!(
                        "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                    )
                }
            };
            writer.write_all(answer.as_bytes())?;
        }
    }
}

/// Body of a heartbeat.
pub fn heartbeat(service: &str, address: SocketAddr, born_ms: u64, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"north-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"sequence":{sequence},"born":{born_ms}}}"#
    )
}

/// Sends a heartbeat to one registry.
pub fn put_heartbeat(registry: SocketAddr, id: &str, body: &str) -> Result<Response> {
    let path = format!("/gentiancleat/instances/{id}");
    let headers = [("Content-Type", "application/json")];
    request(
        registry,
        "PUT",
        &path,
        &headers,
        body.as_bytes(),
        HEARTBEAT_TIMEOUT,
    )
}

/// Time of day in ms since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is set");
    u64::try_from(since_epoch.as_millis()).expect("the time fits")
}
