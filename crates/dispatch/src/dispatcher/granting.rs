use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::rand_core::Rng;

use super::{Dispatcher, Queued};
use crate::endpoint::Endpoint;
use crate::forecast::{Forecast, MemoryLimit};
use crate::number::{real, whole};
use crate::permit::Permit;
use crate::prefix::Match;
use crate::work::{RowIndex, Work};
use crate::{Action, LengthPrediction};

/// An endpoint with room for a request.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) endpoint: EndpointId,
    forecast: Forecast,
    mean_tokens: f64,
    prefill_tokens: u64,
}

impl Dispatcher {
    /// Grants in every pool while the request whose turn it is has room.
    pub(super) fn grant_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us < self.held_until_us {
            return;
        }
        for pool in 0..self.pools.len() {
            while !self.pools[pool].stuck && self.grant_one(now_us, pool, actions) {}
            self.pools[pool].stuck = true;
        }
    }

    /// Lets the next `grant_all` try again, since room or the order of service changed.
    pub(super) fn unstick(&mut self) {
        for pool in &mut self.pools {
            pool.stuck = false;
        }
    }

    /// The same, if a request is among those that would be tried.
    pub(super) fn unstick_for(&mut self, request: RequestId) {
        let Some(queued) = self.queued.get(&request) else {
            return;
        };
        let (row, model) = (queued.work.row, queued.work.model);
        let flows = self.settings.backfill_flows + 1;
        let pool = self.pool_index(model);
        let pool = &mut self.pools[pool];
        if pool.queue.order().take(flows).any(|first| first == row) {
            pool.stuck = false;
        }
    }

    /// Grants nothing before a time, while permits of an earlier owner may be unknown.
    pub fn delay_grants_until(&mut self, held_until_us: u64) {
        self.held_until_us = held_until_us;
    }

    /// When a hold or a pause of an endpoint ends that requests wait for.
    pub(super) fn resumption_us(&self) -> Option<u64> {
        if self.queued.is_empty() {
            return None;
        }
        let pauses = self.endpoints.iter().map(|known| known.paused_until_us);
        let held = std::iter::once(self.held_until_us);
        pauses
            .chain(held)
            .filter(|&at_us| at_us > self.now_us)
            .min()
    }

    pub(super) fn predict(&self, work: &Work, generated_tokens: u32) -> LengthPrediction {
        let row = self.row(work.row);
        self.lengths
            .predict(row.kind, &row.lengths, generated_tokens, work.max_tokens)
    }

    /// The best of some open endpoints with room for a request.
    pub(super) fn place(&self, open: &[&Endpoint], work: &Work) -> Option<Place> {
        let prediction = self.predict(work, 0);
        let forecast = Forecast::of(&prediction, u64::from(work.prompt_tokens));
        let matches = self.placement.matches(&work.prefix);
        let best = open
            .iter()
            .filter_map(|endpoint| {
                let added = Addition::new(endpoint, work, &forecast, &matches);
                let occupancy = self.occupancy(endpoint, &added)?;
                Some(self.placement_cost(endpoint, work, &added, occupancy))
            })
            .min_by_key(|cost| cost.total_us)?;
        Some(Place {
            endpoint: best.endpoint,
            forecast,
            mean_tokens: prediction.mean_tokens(),
            prefill_tokens: best.prefill_tokens,
        })
    }

    /// Endpoints of a pool that may take another permit, from a position on.
    pub(super) fn open_endpoints(&self, now_us: u64, pool: usize, first: usize) -> Vec<&Endpoint> {
        let model = self.pools[pool].model;
        let rotated = self.endpoints[first..]
            .iter()
            .chain(&self.endpoints[..first]);
        rotated
            .filter(|endpoint| endpoint.is_open(now_us) && endpoint.serves(model))
            .collect()
    }

    fn grant_one(&mut self, now_us: u64, pool: usize, actions: &mut Vec<Action>) -> bool {
        let flows = self.settings.backfill_flows + 1;
        let order: Vec<RowIndex> = self.pools[pool].queue.order().take(flows).collect();
        let rotation = self.rotation();
        let open = self.open_endpoints(now_us, pool, rotation);
        if order.is_empty() || open.is_empty() {
            return false;
        }
        for (turn, &row) in order.iter().enumerate() {
            let request = self.first_of(pool, row);
            if let Some(place) = self.place(&open, &self.queued[&request].work) {
                self.pass_over(now_us, pool, &order[..turn]);
                self.grant(now_us, pool, request, &place, actions);
                return true;
            }
            if self.must_not_be_passed(now_us, request) {
                return false;
            }
        }
        false
    }

    /// The request of an active flow that goes first.
    fn first_of(&self, pool: usize, row: RowIndex) -> RequestId {
        let urgent_first = self.row(row).urgent_first();
        let first = self.pools[pool].queue.first(row, urgent_first);
        first.expect("an active flow has a request")
    }

    fn grant(
        &mut self,
        now_us: u64,
        pool: usize,
        request: RequestId,
        place: &Place,
        actions: &mut Vec<Action>,
    ) {
        let queued = self.unqueue(request);
        let number = PermitId(self.next_permit);
        self.next_permit += 1;
        let row = queued.work.row;
        let permit = self.permit_for(now_us, pool, request, queued, place);
        self.pools[pool].queue.serve(now_us, row);
        actions.push(Action::Grant {
            endpoint: place.endpoint,
            permit: number,
            priority: self.row(row).priority(),
            request,
        });
        self.start(now_us, number, permit);
        let endpoint = self.endpoint(place.endpoint).expect("a place exists");
        assert!(
            endpoint.fits(),
            "known sizes exceed the memory of endpoint {}",
            place.endpoint
        );
    }

    fn permit_for(
        &self,
        now_us: u64,
        pool: usize,
        request: RequestId,
        queued: Queued,
        place: &Place,
    ) -> Permit {
        let prefill_us = real(place.prefill_tokens) * self.settings.prefill_us_per_token;
        let decode_us = place.mean_tokens * self.pools[pool].token_us;
        let endpoint = self.endpoint(place.endpoint).expect("a place exists");
        Permit {
            cancelling: false,
            charged_us: whole(prefill_us + decode_us),
            endpoint: place.endpoint,
            forecast: place.forecast.clone(),
            generated_tokens: 0,
            granted_us: now_us,
            known_tokens: endpoint.occupied_tokens(u64::from(queued.work.prompt_tokens)),
            prefill_tokens: place.prefill_tokens,
            request,
            taken_tokens: place.mean_tokens,
            used_us: prefill_us,
            withdrawn: false,
            work: queued.work,
        }
    }

    /// Part of the endpoint's memory that is expected to be used; none if there is no room.
    fn occupancy(&self, endpoint: &Endpoint, added: &Addition<'_>) -> Option<f64> {
        let profile = endpoint.profile.as_ref()?;
        if !endpoint.is_engine() || endpoint.running == 0 {
            return (added.known_tokens <= profile.memory_tokens).then_some(0.0);
        }
        let shared_tokens = endpoint.shared_tokens() + added.shared_tokens;
        let known_tokens = endpoint.known_tokens + added.known_tokens - shared_tokens;
        if known_tokens > profile.memory_tokens
            || !self.has_prefill_room(endpoint, added.prefill_tokens)
        {
            return None;
        }
        let memory_tokens = real(profile.memory_tokens);
        let limit = MemoryLimit {
            deviations: self.settings.confidence_deviations,
            tokens: memory_tokens * self.settings.memory_fraction_max,
        };
        let forecast = &endpoint.forecast;
        let peak_tokens = forecast.peak_tokens(added.forecast, shared_tokens, limit)?;
        Some(peak_tokens / memory_tokens)
    }

    fn has_prefill_room(&self, endpoint: &Endpoint, added_tokens: u64) -> bool {
        endpoint.prefill_tokens == 0
            || endpoint.prefill_tokens + added_tokens <= self.settings.prefill_tokens_max
    }

    fn must_not_be_passed(&self, now_us: u64, request: RequestId) -> bool {
        self.queued[&request]
            .passed_over_us
            .is_some_and(|since_us| now_us - since_us > self.settings.bypass_us_max)
    }

    fn pass_over(&mut self, now_us: u64, pool: usize, passed: &[RowIndex]) {
        for &row in passed {
            let request = self.first_of(pool, row);
            let queued = self.queued.get_mut(&request).expect("it waits");
            queued.passed_over_us.get_or_insert(now_us);
        }
    }

    fn placement_cost(
        &self,
        endpoint: &Endpoint,
        work: &Work,
        added: &Addition<'_>,
        occupancy: f64,
    ) -> PlacementCost {
        let profile = endpoint.profile.as_ref().expect("a place has a profile");
        let prefill_us = real(added.prefill_tokens) * self.settings.prefill_us_per_token;
        let running = f64::from(endpoint.running) / f64::from(endpoint.running_max().max(1));
        let load_us = real(self.settings.occupancy_us) * running.max(occupancy);
        let waiting_us = u64::from(endpoint.report.waiting) * self.settings.waiting_us;
        let region_us = if profile.region == work.region {
            0
        } else {
            self.settings.region_us
        };
        PlacementCost {
            endpoint: endpoint.id,
            prefill_tokens: added.prefill_tokens,
            total_us: whole(prefill_us + load_us) + region_us + waiting_us,
        }
    }

    /// Where to begin among the endpoints, so that equals take turns.
    pub(super) fn rotation(&mut self) -> usize {
        let members = self.endpoints.len() as u64;
        if members == 0 {
            return 0;
        }
        usize::try_from(self.rng.next_u64() % members).expect("a position")
    }
}

/// What a request would add to one endpoint.
#[derive(Debug)]
struct Addition<'a> {
    forecast: &'a Forecast,
    known_tokens: u64,
    prefill_tokens: u64,
    shared_tokens: u64,
}

impl<'a> Addition<'a> {
    fn new(endpoint: &Endpoint, work: &Work, forecast: &'a Forecast, matches: &[Match]) -> Self {
        let mut here = matches.iter().filter(|found| found.endpoint == endpoint.id);
        let cached_blocks = here.clone().next().map_or(0, |found| found.blocks);
        let shared_blocks = here
            .find(|found| found.live)
            .map_or(0, |found| found.blocks);
        let prompt_tokens = u64::from(work.prompt_tokens);
        let cached_tokens = endpoint.block_tokens(cached_blocks);
        Self {
            forecast,
            known_tokens: endpoint.occupied_tokens(prompt_tokens),
            prefill_tokens: prompt_tokens.saturating_sub(cached_tokens).max(1),
            shared_tokens: endpoint.block_tokens(shared_blocks),
        }
    }
}

#[derive(Debug)]
struct PlacementCost {
    endpoint: EndpointId,
    prefill_tokens: u64,
    total_us: u64,
}
