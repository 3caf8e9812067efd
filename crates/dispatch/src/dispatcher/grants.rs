use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::rand_core::Rng;

use super::{Dispatcher, QueuedRequest};
use crate::endpoint::Endpoint;
use crate::forecast::{Forecast, MemoryLimit};
use crate::number::{to_f64, to_u64};
use crate::permit::Permit;
use crate::prefix_index::PrefixMatch;
use crate::request_spec::{RequestSpec, RowIndex};
use crate::{Action, LengthPrediction};

/// An endpoint chosen for a request, with the request's predicted resources.
#[derive(Debug, Clone)]
pub(super) struct Placement {
    pub(super) endpoint: EndpointId,
    forecast: Forecast,
    mean_tokens: f64,
    prefill_tokens: u64,
}

impl Dispatcher {
    /// Grants requests in every pool until none of the next ones fits an endpoint.
    pub(super) fn grant_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us < self.grants_delayed_until_us {
            return;
        }
        for pool in 0..self.pools.len() {
            while !self.pools[pool].is_blocked && self.grant_next(now_us, pool, actions) {}
            self.pools[pool].is_blocked = true;
        }
    }

    /// Unblocks all pools, after capacity or the order of service changed.
    pub(super) fn unblock_pools(&mut self) {
        for pool in &mut self.pools {
            pool.is_blocked = false;
        }
    }

    /// Unblocks a request's pool if the request's flow is among the next ones to be tried.
    pub(super) fn unblock_pool_for(&mut self, request: RequestId) {
        let Some(queued) = self.queued.get(&request) else {
            return;
        };
        let (row, model) = (queued.spec.row, queued.spec.model);
        let flows = self.settings.backfill_flows + 1;
        let pool = self.pool_index(model);
        let pool = &mut self.pools[pool];
        if pool.queue.order().take(flows).any(|first| first == row) {
            pool.is_blocked = false;
        }
    }

    /// Delays all grants until a time, while permits of an earlier owner may be unknown.
    pub fn delay_grants_until(&mut self, grants_delayed_until_us: u64) {
        self.grants_delayed_until_us = grants_delayed_until_us;
    }

    /// End of the first pause of an endpoint or of the delay of grants, if requests wait.
    pub(super) fn next_resumption_us(&self) -> Option<u64> {
        if self.queued.is_empty() {
            return None;
        }
        let pauses = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.paused_until_us);
        let delay = std::iter::once(self.grants_delayed_until_us);
        pauses
            .chain(delay)
            .filter(|&at_us| at_us > self.now_us)
            .min()
    }

    pub(super) fn predict(&self, spec: &RequestSpec, generated_tokens: u32) -> LengthPrediction {
        let row = self.row(spec.row);
        self.lengths
            .predict(row.kind, &row.lengths, generated_tokens, spec.max_tokens)
    }

    /// The cheapest of `available` endpoints with capacity for a request.
    pub(super) fn find_placement(
        &self,
        available: &[&Endpoint],
        spec: &RequestSpec,
    ) -> Option<Placement> {
        let prediction = self.predict(spec, 0);
        let forecast = Forecast::of(&prediction, u64::from(spec.prompt_tokens));
        let matches = self.prefix_index.matches(&spec.prefix);
        let best = available
            .iter()
            .filter_map(|endpoint| {
                let added = AddedLoad::new(endpoint, spec, &forecast, &matches);
                let occupancy = self.occupancy(endpoint, &added)?;
                Some(self.placement_cost(endpoint, spec, &added, occupancy))
            })
            .min_by_key(|cost| cost.total_us)?;
        Some(Placement {
            endpoint: best.endpoint,
            forecast,
            mean_tokens: prediction.mean_tokens(),
            prefill_tokens: best.prefill_tokens,
        })
    }

    /// Endpoints of a pool that accept another permit, in rotated order from position `first`.
    pub(super) fn available_endpoints(
        &self,
        now_us: u64,
        pool: usize,
        first: usize,
    ) -> Vec<&Endpoint> {
        let model = self.pools[pool].model;
        let rotated = self.endpoints[first..]
            .iter()
            .chain(&self.endpoints[..first]);
        rotated
            .filter(|endpoint| endpoint.accepts_permits(now_us) && endpoint.serves(model))
            .collect()
    }

    fn grant_next(&mut self, now_us: u64, pool: usize, actions: &mut Vec<Action>) -> bool {
        let flows = self.settings.backfill_flows + 1;
        let order: Vec<RowIndex> = self.pools[pool].queue.order().take(flows).collect();
        let first = self.random_endpoint_index();
        let available = self.available_endpoints(now_us, pool, first);
        if order.is_empty() || available.is_empty() {
            return false;
        }
        for (turn, &row) in order.iter().enumerate() {
            let request = self.next_request(pool, row);
            if let Some(placement) = self.find_placement(&available, &self.queued[&request].spec) {
                self.record_bypass(now_us, pool, &order[..turn]);
                self.grant(now_us, pool, request, &placement, actions);
                return true;
            }
            if self.has_reached_bypass_limit(now_us, request) {
                return false;
            }
        }
        false
    }

    /// The next request of an active flow.
    fn next_request(&self, pool: usize, row: RowIndex) -> RequestId {
        let is_urgent_first = self.row(row).is_urgent_first();
        let first = self.pools[pool].queue.first(row, is_urgent_first);
        first.expect("an active flow has a request")
    }

    fn grant(
        &mut self,
        now_us: u64,
        pool: usize,
        request: RequestId,
        placement: &Placement,
        actions: &mut Vec<Action>,
    ) {
        let queued = self.dequeue(request);
        let number = PermitId(self.next_permit);
        self.next_permit += 1;
        let row = queued.spec.row;
        let permit = self.new_permit(now_us, pool, request, queued, placement);
        self.pools[pool].queue.record_service(now_us, row);
        actions.push(Action::Grant {
            endpoint: placement.endpoint,
            permit: number,
            priority: self.row(row).priority(),
            request,
        });
        self.activate(now_us, number, permit);
        let endpoint = self
            .endpoint(placement.endpoint)
            .expect("the chosen endpoint exists");
        assert!(
            endpoint.is_within_memory(),
            "granted permits exceed the memory of endpoint {}",
            placement.endpoint
        );
    }

    fn new_permit(
        &self,
        now_us: u64,
        pool: usize,
        request: RequestId,
        queued: QueuedRequest,
        placement: &Placement,
    ) -> Permit {
        let prefill_us = to_f64(placement.prefill_tokens) * self.settings.prefill_us_per_token;
        let decode_us = placement.mean_tokens * self.pools[pool].token_us;
        let endpoint = self
            .endpoint(placement.endpoint)
            .expect("the chosen endpoint exists");
        Permit {
            charged_tokens: placement.mean_tokens,
            charged_us: to_u64(prefill_us + decode_us),
            endpoint: placement.endpoint,
            forecast: placement.forecast.clone(),
            generated_tokens: 0,
            granted_us: now_us,
            is_cancelling: false,
            is_withdrawn: false,
            occupied_tokens: endpoint.block_aligned_tokens(u64::from(queued.spec.prompt_tokens)),
            prefill_tokens: placement.prefill_tokens,
            request,
            spec: queued.spec,
            used_us: prefill_us,
        }
    }

    /// Fraction of the endpoint's memory at the forecast peak; `None` if there is no capacity.
    fn occupancy(&self, endpoint: &Endpoint, added: &AddedLoad<'_>) -> Option<f64> {
        let profile = endpoint.profile.as_ref()?;
        if !endpoint.is_engine() || endpoint.running == 0 {
            return (added.occupied_tokens <= profile.memory_tokens).then_some(0.0);
        }
        let shared_tokens = endpoint.shared_tokens() + added.shared_tokens;
        let occupied_tokens = endpoint.occupied_tokens + added.occupied_tokens - shared_tokens;
        if occupied_tokens > profile.memory_tokens
            || !self.has_prefill_capacity(endpoint, added.prefill_tokens)
        {
            return None;
        }
        let memory_tokens = to_f64(profile.memory_tokens);
        let limit = MemoryLimit {
            deviations: self.settings.confidence_deviations,
            tokens: memory_tokens * self.settings.memory_fraction_max,
        };
        let forecast = &endpoint.forecast;
        let peak_tokens = forecast.peak_tokens(added.forecast, shared_tokens, limit)?;
        Some(peak_tokens / memory_tokens)
    }

    fn has_prefill_capacity(&self, endpoint: &Endpoint, added_tokens: u64) -> bool {
        endpoint.prefill_tokens == 0
            || endpoint.prefill_tokens + added_tokens <= self.settings.prefill_tokens_max
    }

    fn has_reached_bypass_limit(&self, now_us: u64, request: RequestId) -> bool {
        self.queued[&request]
            .bypassed_since_us
            .is_some_and(|since_us| now_us - since_us > self.settings.bypass_us_max)
    }

    fn record_bypass(&mut self, now_us: u64, pool: usize, bypassed: &[RowIndex]) {
        for &row in bypassed {
            let request = self.next_request(pool, row);
            let queued = self
                .queued
                .get_mut(&request)
                .expect("the request is queued");
            queued.bypassed_since_us.get_or_insert(now_us);
        }
    }

    fn placement_cost(
        &self,
        endpoint: &Endpoint,
        spec: &RequestSpec,
        added: &AddedLoad<'_>,
        occupancy: f64,
    ) -> PlacementCost {
        let profile = endpoint
            .profile
            .as_ref()
            .expect("an available endpoint has a profile");
        let prefill_us = to_f64(added.prefill_tokens) * self.settings.prefill_us_per_token;
        let running_fraction =
            f64::from(endpoint.running) / f64::from(endpoint.running_max().max(1));
        let fill_us =
            to_f64(self.settings.full_endpoint_penalty_us) * running_fraction.max(occupancy);
        let waiting_us =
            u64::from(endpoint.load.waiting) * self.settings.waiting_sequence_penalty_us;
        let region_us = if profile.region == spec.region {
            0
        } else {
            self.settings.other_region_penalty_us
        };
        PlacementCost {
            endpoint: endpoint.id,
            prefill_tokens: added.prefill_tokens,
            total_us: to_u64(prefill_us + fill_us) + region_us + waiting_us,
        }
    }

    /// Random position in the list of endpoints, so that equal endpoints are chosen in turn.
    pub(super) fn random_endpoint_index(&mut self) -> usize {
        let count = self.endpoints.len() as u64;
        if count == 0 {
            return 0;
        }
        usize::try_from(self.rng.next_u64() % count).expect("the position fits a usize")
    }
}

/// Resources that a request would add to one endpoint.
#[derive(Debug)]
struct AddedLoad<'a> {
    forecast: &'a Forecast,
    occupied_tokens: u64,
    prefill_tokens: u64,
    shared_tokens: u64,
}

impl<'a> AddedLoad<'a> {
    fn new(
        endpoint: &Endpoint,
        spec: &RequestSpec,
        forecast: &'a Forecast,
        matches: &[PrefixMatch],
    ) -> Self {
        let mut on_endpoint = matches.iter().filter(|found| found.endpoint == endpoint.id);
        let cached_blocks = on_endpoint.clone().next().map_or(0, |found| found.blocks);
        let shared_blocks = on_endpoint
            .find(|found| found.in_use)
            .map_or(0, |found| found.blocks);
        let prompt_tokens = u64::from(spec.prompt_tokens);
        let cached_tokens = endpoint.block_tokens(cached_blocks);
        Self {
            forecast,
            occupied_tokens: endpoint.block_aligned_tokens(prompt_tokens),
            prefill_tokens: prompt_tokens.saturating_sub(cached_tokens).max(1),
            shared_tokens: endpoint.block_tokens(shared_blocks),
        }
    }
}

/// Cost of running a request on one endpoint, as expected delay.
#[derive(Debug)]
struct PlacementCost {
    endpoint: EndpointId,
    prefill_tokens: u64,
    total_us: u64,
}
