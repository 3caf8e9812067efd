/// Time in which a document may be used after it was confirmed to be the newest.
///
/// A lease starts when the confirmation is requested, not when it arrives. So it ends before any
/// document that was accepted after the confirmation is older than one lease.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    duration_ms: u64,
    requested_at_ms: Option<u64>,
}

impl Lease {
    /// Creates a lease that is not valid until its first renewal.
    #[must_use]
    pub fn new(duration_ms: u64) -> Self {
        Self {
            duration_ms,
            requested_at_ms: None,
        }
    }

    /// Renews the lease by a confirmation that was requested at this time.
    pub fn renew(&mut self, requested_at_ms: u64) {
        self.requested_at_ms = self.requested_at_ms.max(Some(requested_at_ms));
    }

    /// Whether the lease is valid at this time.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < self.duration_ms)
    }

    /// Time since the request for the latest confirmation; `None` before the first.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.requested_at_ms
            .map(|requested_at_ms| now_ms.saturating_sub(requested_at_ms))
    }
}
