use bytes::{Bytes, BytesMut};

/// Most chunks that are buffered until an event.
const BUFFERED_CHUNKS_MAX: usize = 16 * 1024;

/// Longest part of a stream that is buffered until an event; endpoints send events of a few hundred
/// bytes.
const EVENT_BYTES_MAX: usize = 64 * 1024;

/// Bytes before the end of an incomplete event that may belong to its last line end.
const LINE_END_BYTES_MAX: usize = 3;

/// Splits the bytes of a server-sent event stream into whole events.
///
/// Only whole events are forwarded. A stream that breaks off within an event can therefore resume
/// from another endpoint without any bytes of the partial event.
///
/// [`push_until_event`](Self::push_until_event) also keeps back what is no event of an answer, whose
/// ids are numeric and increase: blank lines, comments and events without such an id.
#[derive(Debug, Default)]
pub struct EventReader {
    /// Chunks since one that completed an event with an increased id, if bytes are buffered.
    buffered_chunks: usize,
    event_count: u64,
    /// Whole events after the last one with an increased id.
    held: BytesMut,
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
            // The partial event has no end, so only the new bytes may complete one.
            let start = self.partial.len().saturating_sub(LINE_END_BYTES_MAX);
            self.partial.extend_from_slice(&bytes);
            let Some(end) = last_event_end(&self.partial[start..]) else {
                return Bytes::new();
            };
            self.partial.split_to(start + end).freeze()
        };
        let new = self.skip_forwarded(whole);
        self.record_events(&new);
        new
    }

    /// Like [`push`](Self::push), but keeps back whole events until one with an increased id
    /// follows.
    pub fn push_until_event(&mut self, bytes: Bytes) -> Bytes {
        let previous_id = self.last_event_id;
        let mut whole = self.push(bytes);
        let end = increased_event_end(&whole, previous_id);
        let later = whole.split_off(end);
        if !self.held.is_empty() && !whole.is_empty() {
            self.held.extend_from_slice(&whole);
            whole = self.held.split().freeze();
        }
        self.held.extend_from_slice(&later);
        let is_buffered = !self.partial.is_empty() || !self.held.is_empty();
        self.buffered_chunks = if is_buffered && whole.is_empty() {
            self.buffered_chunks + 1
        } else {
            0
        };
        whole
    }

    /// Takes the whole events that were kept back; called at the end of the stream.
    pub fn take_held(&mut self) -> Bytes {
        self.held.split().freeze()
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

    /// Whether the buffered bytes are more than the limit.
    #[must_use]
    pub fn is_partial_too_long(&self) -> bool {
        let bytes = self.partial.len() + self.held.len();
        bytes > EVENT_BYTES_MAX || self.buffered_chunks > BUFFERED_CHUNKS_MAX
    }

    /// Drops all buffered bytes; called before bytes of another endpoint are added.
    pub fn discard_partial(&mut self) {
        self.buffered_chunks = 0;
        self.held.clear();
        self.partial.clear();
    }

    /// Events with an id line so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Greatest numeric id of the whole events.
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
        self.last_event_id = event_ids(whole).max().max(self.last_event_id);
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

/// Position after the last event whose numeric id is greater than the previous one; 0 if there is
/// none.
fn increased_event_end(events: &[u8], mut previous_id: Option<u64>) -> usize {
    let mut line_start = 0;
    let mut last_id_at = None;
    for line in events.split_inclusive(|&byte| byte == b'\n') {
        let id = event_ids(line).next();
        if id.is_some_and(|id| previous_id.is_none_or(|previous_id| id > previous_id)) {
            previous_id = id;
            last_id_at = Some(line_start);
        }
        line_start += line.len();
    }
    last_id_at.map_or(0, |at| {
        at + first_event_end(&events[at..]).unwrap_or(events.len() - at)
    })
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
