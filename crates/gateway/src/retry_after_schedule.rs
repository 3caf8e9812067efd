/// Shortest time before a client may return.
const RETURN_MS_MIN: u64 = 150;

/// Longest time before a client may return; clients honour up to a third of their time left.
const RETURN_MS_MAX: u64 = 6_000;

/// Times at which refused clients are asked to return.
///
/// Returns are spaced as room is expected, so whoever was refused first comes back first, and a
/// crowd that was refused at once does not come back at once.
#[derive(Debug, Default)]
pub struct RetryAfterSchedule {
    next_ms: u64,
}

impl RetryAfterSchedule {
    /// Time for one more client to wait, where room for one is expected every `spacing_ms`.
    pub fn next_ms(&mut self, now_ms: u64, spacing_ms: u64) -> u64 {
        let earliest_ms = now_ms + RETURN_MS_MIN;
        let at_ms = self.next_ms.max(earliest_ms).min(now_ms + RETURN_MS_MAX);
        self.next_ms = at_ms + spacing_ms;
        at_ms - now_ms
    }
}
