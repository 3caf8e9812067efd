//! Assumed and observed times of the prefill.

use placement::{Demand, PREFILL_TOKENS_PER_MS, PrefillSlowness};

use super::{Fleet, FleetState};
use crate::endpoint::Endpoint;

impl Fleet {
    /// Compares the time to a first event with the assumed time of the prefill. Returns the slowness of
    /// the service and the number of observations behind it if it has changed much.
    pub(super) fn record_prefill(
        &self,
        service: &str,
        expected_ms: u64,
        observed_ms: u64,
    ) -> Option<(u64, usize)> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let known = &mut state.prefill_slowness;
        let found = known.binary_search_by(|known| known.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            known.insert(at, (service.to_owned(), PrefillSlowness::default()));
            at
        });
        let slowness = &mut known[at].1;
        slowness.record(now_ms, expected_ms, observed_ms);
        slowness.changed(now_ms)
    }

    /// Expected time of a prefill at an engine of usual speed where no other prompt waits.
    pub(crate) fn idle_prefill_ms(&self, service: &str, demand: &Demand) -> u64 {
        let percent = self.lock().prefill_slowness_percent(self.now_ms(), service);
        demand.prefill_tokens * percent / (100 * PREFILL_TOKENS_PER_MS)
    }
}

impl FleetState {
    /// Assumed time until the prefill of a request is complete, before it is placed at the endpoint.
    pub(super) fn expected_prefill_ms(&self, endpoint: &Endpoint, demand: &Demand) -> u64 {
        if demand.prefill_tokens == 0 {
            return 0;
        }
        let found = self
            .endpoints
            .binary_search_by(|known| known.endpoint.id.cmp(&endpoint.id));
        let slowness_percent = found.map_or(100, |at| self.endpoints[at].slowness_percent);
        let tokens = endpoint.load().prefill_tokens + demand.prefill_tokens;
        tokens * slowness_percent / (100 * PREFILL_TOKENS_PER_MS)
    }

    /// Prefill time of a service's engines in percent of the assumed one.
    pub(super) fn prefill_slowness_percent(&self, now_ms: u64, service: &str) -> u64 {
        let found = self
            .prefill_slowness
            .binary_search_by(|known| known.0.as_str().cmp(service));
        found.map_or(100, |at| self.prefill_slowness[at].1.percent(now_ms))
    }
}
