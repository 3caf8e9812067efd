use bytes::{Bytes, BytesMut};

/// Longest event that is kept while it is incomplete; endpoints send a few hundred bytes.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Splits the bytes of an event stream into whole events.
///
/// Only whole events are passed on, so that a stream which breaks off within an event can go on
/// from another source without a trace of the partial one.
#[derive(Debug, Default)]
pub struct EventReader {
    events: u64,
    last_event_id: Option<u64>,
    partial: BytesMut,
}

impl EventReader {
    /// Takes bytes, and gives those that end the events known so far.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.note(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// Whether bytes of an incomplete event wait.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether the incomplete event is longer than any that is sent.
    #[must_use]
    pub fn is_partial_too_long(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }

    /// Drops the incomplete event, before bytes of another source come.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Events so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Id of the last whole event that names one.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.split(|&byte| byte == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            self.events += 1;
            let text = std::str::from_utf8(value).unwrap_or_default();
            if let Ok(id) = text.trim().parse() {
                self.last_event_id = Some(id);
            }
        }
    }
}

/// End of the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let starts = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    starts.map(|at| at + 2).max(carriage.map(|at| at + 4))
}
