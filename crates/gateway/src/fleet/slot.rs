use std::sync::Arc;

use placement::Load;
use tokio::time::Instant;

use super::Fleet;
use crate::clock::elapsed_ms;
use crate::endpoint::Endpoint;

/// Capacity that one request occupies on an endpoint; released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Assumed time until the request's prefill is complete; 0 if it has no prompt to prefill.
    pub(super) expected_prefill_ms: u64,
    pub(super) fleet: Arc<Fleet>,
    /// This request's part of the endpoint's load.
    pub(super) load: Load,
    pub(super) occupied_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut stats = self.endpoint.stats();
            stats.local_load = stats.local_load.saturating_sub(&self.load);
        }
        self.fleet.serve_queue();
    }
}

impl Slot {
    /// Removes the prompt from the load that waits for prefill. Returns the slowness of the service's
    /// prefill, with the number of observations behind it, if this changes it much.
    pub(crate) fn complete_prefill(&mut self) -> Option<(u64, usize)> {
        let prefill_tokens = std::mem::take(&mut self.load.prefill_tokens);
        self.endpoint.stats().local_load.prefill_tokens -= prefill_tokens;
        let expected_ms = std::mem::take(&mut self.expected_prefill_ms);
        if expected_ms == 0 {
            return None;
        }
        let observed_ms = elapsed_ms(self.occupied_at);
        let service = &self.endpoint.service;
        self.fleet.record_prefill(service, expected_ms, observed_ms)
    }

    /// Removes the request's KV cache copy from the copies in flight.
    pub(crate) fn complete_copy(&mut self) {
        let kv_copy_tokens = std::mem::take(&mut self.load.kv_copy_tokens);
        self.endpoint.stats().local_load.kv_copy_tokens -= kv_copy_tokens;
    }

    /// Replaces the prediction of the tokens in memory at the end of the request.
    pub(crate) fn set_predicted_tokens(&mut self, tokens: u64) {
        let mut stats = self.endpoint.stats();
        stats.local_load.predicted_tokens =
            stats.local_load.predicted_tokens - self.load.predicted_tokens + tokens;
        self.load.predicted_tokens = tokens;
    }
}
