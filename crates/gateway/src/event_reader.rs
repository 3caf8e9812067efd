use bytes::{Bytes, BytesMut};

/// Longest incomplete event that is buffered; endpoints send events of a few hundred bytes.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Splits the bytes of a server-sent event stream into whole events.
///
/// Only whole events are forwarded. A stream that breaks off within an event can therefore resume
/// from another endpoint without any bytes of the partial event.
#[derive(Debug, Default)]
pub struct EventReader {
    event_count: u64,
    last_event_id: Option<u64>,
    partial: BytesMut,
    /// Whether events up to the last one may come again.
    skips_forwarded: bool,
}

impl EventReader {
    /// Adds bytes, and returns all bytes up to the end of the last whole event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let whole = if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            let Some(end) = last_event_end(&self.partial) else {
                return Bytes::new();
            };
            self.partial.split_to(end).freeze()
        };
        let new = self.skip_forwarded(whole);
        self.record_events(&new);
        new
    }

    /// Skips events up to the last one; called when another endpoint continues the stream, which
    /// may start before it.
    pub fn skip_forwarded_events(&mut self) {
        self.skips_forwarded = true;
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether the incomplete event is longer than the limit.
    #[must_use]
    pub fn is_partial_too_long(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }

    /// Drops the incomplete event; called before bytes of another endpoint are added.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Events with an id line so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Id of the last whole event that has a numeric id.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Removes events that were forwarded already, up to the first one whose id is new or missing.
    fn skip_forwarded(&mut self, mut whole: Bytes) -> Bytes {
        let Some(last_event_id) = self.last_event_id.filter(|_| self.skips_forwarded) else {
            self.skips_forwarded = false;
            return whole;
        };
        while let Some(end) = first_event_end(&whole) {
            if !event_ids(&whole[..end]).any(|id| id <= last_event_id) {
                self.skips_forwarded = false;
                return whole;
            }
            whole = whole.split_off(end);
        }
        whole
    }

    fn record_events(&mut self, whole: &[u8]) {
        self.event_count += id_values(whole).count() as u64;
        self.last_event_id = event_ids(whole).last().or(self.last_event_id);
    }
}

/// Values of the id lines.
fn id_values(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|&byte| byte == b'\n');
    lines.filter_map(|line| line.strip_prefix(b"id:"))
}

/// Numeric ids of the events.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    id_values(events).filter_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}

/// Position after the first blank line.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some((lf + 2).min(crlf + 4)),
        (lf, crlf) => lf.map(|at| at + 2).or(crlf.map(|at| at + 4)),
    }
}

/// Position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}
