/// Time in which a document may be used after it was confirmed to be the newest.
///
/// A lease starts when the confirmation is requested, not when it arrives. So it ends before any
/// document that was accepted after the confirmation is older than one lease.
///
/// While a newer document is known, the lease is shorter: a newer one is in force everywhere sooner than
/// instances without a connection have to stop.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    duration_ms: u64,
    is_outdated: bool,
    outdated_duration_ms: u64,
    requested_at_ms: Option<u64>,
}

impl Lease {
    /// Creates a lease that is not valid until its first renewal.
    #[must_use]
    pub fn new(duration_ms: u64, outdated_duration_ms: u64) -> Self {
        Self {
            duration_ms,
            is_outdated: false,
            outdated_duration_ms,
            requested_at_ms: None,
        }
    }

    /// Renews the lease by a confirmation that was requested at this time.
    pub fn renew(&mut self, requested_at_ms: u64) {
        self.requested_at_ms = self.requested_at_ms.max(Some(requested_at_ms));
    }

    /// Sets whether a newer document than the one in force is known.
    pub fn set_outdated(&mut self, is_outdated: bool) {
        self.is_outdated = is_outdated;
    }

    /// Whether the lease is valid at this time.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        let duration_ms = if self.is_outdated {
            self.duration_ms.min(self.outdated_duration_ms)
        } else {
            self.duration_ms
        };
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < duration_ms)
    }

    /// Time since the request for the latest confirmation; `None` before the first.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.requested_at_ms
            .map(|requested_at_ms| now_ms.saturating_sub(requested_at_ms))
    }
}
