//! Limit that one incarnation of an endpoint has named on the requests of all instances, and the permits
//! of this instance for requests to it.

use std::collections::VecDeque;

use registry::{PermitAnswer, interval_us};

/// Time for which a permit may be used. The aggregating registry counts it when it is granted, so the
/// requests of four seconds are at most those granted in four and a half.
const PERMIT_TTL_MS: u64 = 500;

/// Most permits that an instance requests ahead for one endpoint.
const PERMITS_MAX: usize = 4;

/// Limit of one incarnation, as this instance knows it.
#[derive(Debug, Default)]
pub struct EndpointLimit {
    /// Time up to which the limit is known; `None` if it has never named one.
    known_at_ms: Option<u64>,
    /// Whether a response to this instance told it, and not another instance.
    is_own: bool,
    /// Time from which this instance may send one request without a registry.
    own_share_at_ms: Option<u64>,
    /// Permits that are requested and not answered.
    pending_requests: usize,
    /// Sorted by the time from which they may be used.
    permits: VecDeque<Permit>,
    request_again_at_ms: u64,
    requests_per_1000_s: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Permit {
    expires_at_ms: u64,
    valid_from_ms: u64,
}

impl EndpointLimit {
    /// Applies a response to a request of this instance; returns whether the limit has changed.
    ///
    /// A response without a limit ends one only if its request was sent after the limit was named.
    pub fn record_response(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        requests_per_1000_s: Option<u64>,
    ) -> bool {
        match requests_per_1000_s {
            Some(_) => self.set(now_ms, true, requests_per_1000_s),
            None if self.known_at_ms.is_some_and(|known| known < sent_at_ms) => {
                self.set(sent_at_ms, true, None)
            }
            None => false,
        }
    }

    /// Applies what other instances know since `age_ms` unless this one knows more; returns whether the
    /// limit has changed.
    pub fn apply_report(
        &mut self,
        now_ms: u64,
        age_ms: u64,
        requests_per_1000_s: Option<u64>,
    ) -> bool {
        let known_at_ms = now_ms.saturating_sub(age_ms);
        if self.known_at_ms.is_some_and(|known| known >= known_at_ms) {
            return false;
        }
        self.set(known_at_ms, false, requests_per_1000_s)
    }

    /// Age and limit of what the last response told this instance; `None` if no response did.
    #[must_use]
    pub fn own_report(&self, now_ms: u64) -> Option<(u64, Option<u64>)> {
        let known_at_ms = self.known_at_ms.filter(|_| self.is_own)?;
        Some((now_ms.saturating_sub(known_at_ms), self.requests_per_1000_s))
    }

    /// Limit that requests must keep; `None` without one.
    #[must_use]
    pub fn requests_per_1000_s(&self) -> Option<u64> {
        self.requests_per_1000_s
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn allows_request(&self, now_ms: u64) -> bool {
        self.requests_per_1000_s.is_none() || self.permits.iter().any(|one| one.is_valid(now_ms))
    }

    /// Uses a permit for a request if there is a limit; returns whether the request keeps it.
    pub fn use_permit(&mut self, now_ms: u64) -> bool {
        if self.requests_per_1000_s.is_none() {
            return true;
        }
        let found = self.permits.iter().position(|one| one.is_valid(now_ms));
        found.is_some_and(|at| self.permits.remove(at).is_some())
    }

    /// Starts to request permits for the requests that wait; returns how many.
    pub fn begin_requests(&mut self, now_ms: u64, waiting_requests: usize) -> usize {
        self.permits.retain(|one| now_ms < one.expires_at_ms);
        if self.requests_per_1000_s.is_none() || now_ms < self.request_again_at_ms {
            return 0;
        }
        let known = self.permits.len() + self.pending_requests;
        let wanted = waiting_requests.min(PERMITS_MAX).saturating_sub(known);
        self.pending_requests += wanted;
        wanted
    }

    /// Applies the answer to a request for a permit.
    pub fn apply_answer(&mut self, now_ms: u64, answer: PermitAnswer) {
        self.pending_requests = self.pending_requests.saturating_sub(1);
        match answer {
            PermitAnswer::Granted { after_ms } => {
                self.own_share_at_ms = None;
                self.add_permit(now_ms + after_ms);
            }
            PermitAnswer::Refused { retry_after_ms } => {
                self.own_share_at_ms = None;
                self.request_again_at_ms = now_ms + retry_after_ms;
            }
        }
    }

    /// Applies that no registry answered a request for a permit: this instance has an equal share of the
    /// limit by itself, from a random time within the first interval on.
    pub fn apply_failure(&mut self, now_ms: u64, instances: u32, random: u64) {
        self.pending_requests = self.pending_requests.saturating_sub(1);
        let Some(requests_per_1000_s) = self.requests_per_1000_s else {
            return;
        };
        let interval_ms = interval_us(requests_per_1000_s) * u64::from(instances.max(1)) / 1_000;
        let first_ms = now_ms + random % interval_ms.max(1);
        let share_at_ms = *self.own_share_at_ms.get_or_insert(first_ms);
        if share_at_ms <= now_ms {
            self.own_share_at_ms = Some(now_ms + interval_ms);
            self.add_permit(now_ms);
        }
        self.request_again_at_ms = now_ms + PERMIT_TTL_MS;
    }

    /// Time until a request may be sent, as far as known; 0 while a permit is requested.
    #[must_use]
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        if self.allows_request(now_ms) {
            return 0;
        }
        let usable = self.permits.iter().filter(|one| now_ms < one.expires_at_ms);
        let next_permit_ms = usable.map(|one| one.valid_from_ms).min();
        if let Some(next_permit_ms) = next_permit_ms {
            return next_permit_ms.saturating_sub(now_ms);
        }
        self.request_again_at_ms.saturating_sub(now_ms)
    }

    fn add_permit(&mut self, valid_from_ms: u64) {
        self.permits.push_back(Permit {
            expires_at_ms: valid_from_ms + PERMIT_TTL_MS,
            valid_from_ms,
        });
    }

    fn set(&mut self, known_at_ms: u64, is_own: bool, requests_per_1000_s: Option<u64>) -> bool {
        let is_changed = self.requests_per_1000_s != requests_per_1000_s;
        self.known_at_ms = Some(known_at_ms);
        self.is_own = is_own;
        self.requests_per_1000_s = requests_per_1000_s;
        is_changed
    }
}

impl Permit {
    fn is_valid(&self, now_ms: u64) -> bool {
        (self.valid_from_ms..self.expires_at_ms).contains(&now_ms)
    }
}
