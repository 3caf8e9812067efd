use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::rand_core::Rng;

use super::{Dispatcher, Queued};
use crate::endpoint::Endpoint;
use crate::forecast::Forecast;
use crate::number::{real, whole};
use crate::permit::Permit;
use crate::prefix::Match;
use crate::work::{RowIndex, Work};
use crate::{Action, Prediction};

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
            while self.grant_one(now_us, pool, actions) {}
        }
    }

    /// Grants nothing before a time, while permits of an earlier owner may be unknown.
    pub fn hold_until(&mut self, held_until_us: u64) {
        self.held_until_us = held_until_us;
    }

    /// When a hold or a pause of an endpoint ends that requests wait for.
    pub(super) fn resumption_us(&self) -> Option<u64> {
        if self.queued.is_empty() {
            return None;
        }
        let pauses = self.endpoints.iter().map(|known| known.paused_until_us);
        let held = std::iter::once(self.held_until_us);
        pauses.chain(held).filter(|&at_us| at_us > 0).min()
    }

    pub(super) fn predict(&self, work: &Work, generated_tokens: u32) -> Prediction {
        let row = self.row(work.row);
        self.lengths
            .predict(row.kind, &row.lengths, generated_tokens, work.max_tokens)
    }

    /// The best endpoint with room for a request.
    pub(super) fn place(&mut self, now_us: u64, pool: usize, work: &Work) -> Option<Place> {
        let prediction = self.predict(work, 0);
        let forecast = Forecast::of(&prediction, u64::from(work.prompt_tokens));
        let matches = self.placement.matches(&work.prefix);
        let first = self.rotation(pool);
        let members = &self.pools[pool].endpoints;
        let rotated = members[first..].iter().chain(&members[..first]);
        let best = rotated
            .filter_map(|&id| self.endpoint(id))
            .filter_map(|endpoint| {
                let room = self.has_room(now_us, endpoint, work, &forecast);
                room.then(|| self.placement_cost(endpoint, work, &forecast, &matches))
            })
            .min_by_key(|cost| cost.total_us)?;
        Some(Place {
            endpoint: best.endpoint,
            forecast,
            mean_tokens: prediction.mean_tokens(),
            prefill_tokens: best.prefill_tokens,
        })
    }

    fn grant_one(&mut self, now_us: u64, pool: usize, actions: &mut Vec<Action>) -> bool {
        let flows = self.settings.backfill_flows + 1;
        let order: Vec<RowIndex> = self.pools[pool].queue.order().take(flows).collect();
        for (turn, &row) in order.iter().enumerate() {
            let urgent_first = self.row(row).urgent_first();
            let first = self.pools[pool].queue.first(row, urgent_first);
            let request = first.expect("an active flow has a request");
            let work = self.queued[&request].work.clone();
            if let Some(place) = self.place(now_us, pool, &work) {
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
        let permit = self.permit_for(now_us, pool, request, &queued, place);
        self.pools[pool].queue.serve(queued.work.row);
        actions.push(Action::Grant {
            endpoint: place.endpoint,
            permit: number,
            priority: self.row(queued.work.row).priority(),
            request,
        });
        self.start(now_us, number, permit);
    }

    fn permit_for(
        &self,
        now_us: u64,
        pool: usize,
        request: RequestId,
        queued: &Queued,
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
            work: queued.work.clone(),
        }
    }

    fn has_room(&self, now_us: u64, endpoint: &Endpoint, work: &Work, added: &Forecast) -> bool {
        let Some(profile) = &endpoint.profile else {
            return false;
        };
        let prompt_tokens = u64::from(work.prompt_tokens);
        if !endpoint.ready
            || now_us < endpoint.paused_until_us
            || endpoint.running >= endpoint.running_max()
        {
            return false;
        }
        if !endpoint.is_engine() || endpoint.running == 0 {
            return endpoint.occupied_tokens(prompt_tokens) <= profile.memory_tokens;
        }
        let known_tokens = endpoint.known_tokens + endpoint.occupied_tokens(prompt_tokens);
        let limit_tokens = real(profile.memory_tokens) * self.settings.memory_fraction_max;
        let deviations = self.settings.confidence_deviations;
        known_tokens <= profile.memory_tokens
            && self.has_prefill_room(endpoint, prompt_tokens)
            && endpoint.forecast.peak_tokens(added, deviations) <= limit_tokens
    }

    fn has_prefill_room(&self, endpoint: &Endpoint, prompt_tokens: u64) -> bool {
        endpoint.prefill_tokens == 0
            || endpoint.prefill_tokens + prompt_tokens <= self.settings.prefill_tokens_max
    }

    fn must_not_be_passed(&self, now_us: u64, request: RequestId) -> bool {
        self.queued[&request]
            .passed_over_us
            .is_some_and(|since_us| now_us - since_us > self.settings.bypass_us_max)
    }

    fn pass_over(&mut self, now_us: u64, pool: usize, passed: &[RowIndex]) {
        for &row in passed {
            let urgent_first = self.row(row).urgent_first();
            let first = self.pools[pool].queue.first(row, urgent_first);
            let request = first.expect("an active flow has a request");
            let queued = self.queued.get_mut(&request).expect("it waits");
            queued.passed_over_us.get_or_insert(now_us);
        }
    }

    fn placement_cost(
        &self,
        endpoint: &Endpoint,
        work: &Work,
        added: &Forecast,
        matches: &[Match],
    ) -> PlacementCost {
        let profile = endpoint.profile.as_ref().expect("a place has a profile");
        let cached = matches.iter().find(|found| found.endpoint == endpoint.id);
        let cached_blocks = cached.map_or(0, |found| found.blocks) as u64;
        let cached_tokens = cached_blocks * u64::from(profile.block_tokens);
        let prefill_tokens = u64::from(work.prompt_tokens).saturating_sub(cached_tokens);
        let prefill_us = real(prefill_tokens) * self.settings.prefill_us_per_token;
        let running = f64::from(endpoint.running) / f64::from(endpoint.running_max().max(1));
        let memory = if endpoint.is_engine() {
            endpoint.forecast.peak_tokens(added, 0.0) / real(profile.memory_tokens.max(1))
        } else {
            0.0
        };
        let load_us = real(self.settings.occupancy_us) * running.max(memory);
        let region_us = if profile.region == work.region {
            0
        } else {
            self.settings.region_us
        };
        PlacementCost {
            endpoint: endpoint.id,
            prefill_tokens,
            total_us: whole(prefill_us + load_us) + region_us,
        }
    }

    /// Where to begin among the endpoints of a pool, so that equals take turns.
    fn rotation(&mut self, pool: usize) -> usize {
        let members = self.pools[pool].endpoints.len() as u64;
        if members == 0 {
            return 0;
        }
        usize::try_from(self.rng.next_u64() % members).expect("a position")
    }
}

#[derive(Debug)]
struct PlacementCost {
    endpoint: EndpointId,
    prefill_tokens: u64,
    total_us: u64,
}
