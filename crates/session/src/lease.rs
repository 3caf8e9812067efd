use crate::{CONFIGURATION_LEASE_MS, RELAYED_LEASE_MIN_MS};

/// Permission to act on the applied configuration, on the holder's side.
///
/// The lease counts from the moment at which the renewing request was sent, so a delayed answer
/// never lengthens it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationLease {
    until_ms: Option<u64>,
}

/// Whether a lease is live.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum LeaseState {
    /// No lease, or a lapsed one.
    Lapsed,
    /// Live for some time yet.
    Live {
        /// Time left.
        remaining_ms: u64,
    },
}

impl ConfigurationLease {
    /// Whether the lease is live at `now_ms`.
    #[must_use]
    pub fn is_live(&self, now_ms: u64) -> bool {
        matches!(self.state(now_ms), LeaseState::Live { .. })
    }

    /// Lease for a subscriber whose request came at `received_ms`; none where too little is left.
    ///
    /// The subscriber counts from when it sent the request, so the lease is told from `received_ms`
    /// on and ends no later than this one. A holder that misses renewals stops passing the lease on
    /// while its subscribers still have time to find another publisher.
    #[must_use]
    pub fn relayed_lease_ms(&self, now_ms: u64, received_ms: u64) -> Option<u64> {
        match self.state(now_ms) {
            LeaseState::Live { remaining_ms } if remaining_ms >= RELAYED_LEASE_MIN_MS => {
                Some(now_ms.saturating_sub(received_ms) + remaining_ms)
            }
            LeaseState::Lapsed | LeaseState::Live { .. } => None,
        }
    }

    /// Renews the lease by an answer to a request sent at `sent_ms` that granted `granted_ms`.
    pub fn renew(&mut self, sent_ms: u64, granted_ms: u64) {
        let until_ms = sent_ms + granted_ms.min(CONFIGURATION_LEASE_MS);
        self.until_ms = self.until_ms.max(Some(until_ms));
    }

    /// Gives the lease up at once.
    pub fn revoke(&mut self) {
        self.until_ms = None;
    }

    /// State at `now_ms`.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> LeaseState {
        match self.until_ms {
            Some(until_ms) if until_ms > now_ms => LeaseState::Live {
                remaining_ms: until_ms - now_ms,
            },
            _ => LeaseState::Lapsed,
        }
    }
}
