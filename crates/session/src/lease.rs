use crate::{CONFIGURATION_LEASE_MS, RELAYED_LEASE_MIN_MS};

/// Lease that allows an instance to act on its applied configuration.
///
/// The lease counts from the sending of the renewal, so a delayed answer never extends it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationLease {
    until_ms: Option<u64>,
}

/// Whether a lease is live, and for how long.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum LeaseState {
    /// There is no lease, or it has lapsed.
    Lapsed,
    /// The lease is live.
    Live {
        /// Time until it lapses.
        remaining_ms: u64,
    },
}

impl ConfigurationLease {
    /// Whether the lease is live at `now_ms`.
    #[must_use]
    pub fn is_live(&self, now_ms: u64) -> bool {
        matches!(self.state(now_ms), LeaseState::Live { .. })
    }

    /// Duration of a subscriber's lease; `None` if less than [`RELAYED_LEASE_MIN_MS`] is left.
    ///
    /// The subscriber counts the lease from the sending of its request. The duration counts from
    /// `received_ms`, so the relayed lease ends no later than this one. A publisher that misses
    /// renewals stops relaying while its subscribers still have time to find another publisher.
    #[must_use]
    pub fn relayed_lease_ms(&self, now_ms: u64, received_ms: u64) -> Option<u64> {
        match self.state(now_ms) {
            LeaseState::Live { remaining_ms } if remaining_ms >= RELAYED_LEASE_MIN_MS => {
                Some(now_ms.saturating_sub(received_ms) + remaining_ms)
            }
            LeaseState::Lapsed | LeaseState::Live { .. } => None,
        }
    }

    /// Renews the lease for `granted_ms` from `sent_ms`, the time at which the request was sent.
    pub fn renew(&mut self, sent_ms: u64, granted_ms: u64) {
        let until_ms = sent_ms + granted_ms.min(CONFIGURATION_LEASE_MS);
        self.until_ms = self.until_ms.max(Some(until_ms));
    }

    /// Ends the lease immediately.
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
