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
}

impl EventReader {
    /// Adds bytes, and returns all bytes up to the end of the last whole event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_events(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        self.record_events(&whole);
        whole
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

    fn record_events(&mut self, whole: &[u8]) {
        for line in whole.split(|&byte| byte == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            self.event_count += 1;
            let text = std::str::from_utf8(value).unwrap_or_default();
            if let Ok(id) = text.trim().parse() {
                self.last_event_id = Some(id);
            }
        }
    }
}

/// Position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}
