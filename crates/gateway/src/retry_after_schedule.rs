/// Shortest time after which a client may retry.
const RETRY_AFTER_MS_MIN: u64 = 150;

/// Longest time after which a client may retry; clients wait at most a third of their time left.
pub(crate) const RETRY_AFTER_MS_MAX: u64 = 6_000;

/// Assigns refused clients the times at which they may retry.
///
/// The times are spaced as capacity is expected to become free. Clients that were refused first
/// retry first, and clients that were refused together do not retry together.
#[derive(Debug, Default)]
pub struct RetryAfterSchedule {
    next_retry_at_ms: u64,
}

impl RetryAfterSchedule {
    /// Time that the next refused client waits, if capacity for one request is expected every
    /// `spacing_ms`.
    pub fn next_ms(&mut self, now_ms: u64, spacing_ms: u64) -> u64 {
        let earliest_ms = now_ms + RETRY_AFTER_MS_MIN;
        let retry_at_ms = self
            .next_retry_at_ms
            .max(earliest_ms)
            .min(now_ms + RETRY_AFTER_MS_MAX);
        self.next_retry_at_ms = retry_at_ms + spacing_ms;
        retry_at_ms - now_ms
    }
}
