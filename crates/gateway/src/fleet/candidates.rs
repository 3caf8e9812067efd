//! Endpoints that may serve a request, with what a choice among them depends on.

use std::sync::Arc;

use catalog::EngineSpec;
use placement::Candidate;

use super::known_endpoint::{KnownEndpoint, prefill_sort_key_max};
use super::{Fleet, FleetState, PlacementRequest};
use crate::Distance;
use crate::endpoint::Endpoint;

/// Penalty of a migration target in another data centre; a copy takes twice as long there.
const REMOTE_MIGRATION_PENALTY_MS: u64 = 170;

/// Divisor of the copy speed to another data centre.
const REMOTE_COPY_SPEED_DIVISOR: u64 = 2;

/// Network costs of sending a request to an endpoint.
#[derive(Debug)]
struct NetworkCost {
    copy_speed_divisor: u64,
    /// Round trip of a new request, or the penalty of a migration target.
    delay_ms: u64,
}

impl Fleet {
    /// Endpoints that may serve a request.
    pub(super) fn candidates(
        &self,
        state: &FleetState,
        placement: &PlacementRequest,
    ) -> Vec<(Arc<Endpoint>, Candidate)> {
        let now_ms = self.now_ms();
        let engine = state.engine(&placement.service);
        let copy_tokens_per_s = engine.map_or(0, EngineSpec::copy_tokens_per_s);
        let is_usable = |known: &&KnownEndpoint| {
            known.endpoint.allows_placement(now_ms)
                && !placement.excluded_ids.contains(&known.endpoint.id)
                && self.is_copy_possible(placement, &known.endpoint)
        };
        let usable: Vec<&KnownEndpoint> = state.suitable(placement).filter(is_usable).collect();
        let is_healthy = |known: &&&KnownEndpoint| {
            !known.is_silent && !known.endpoint.stats().health.is_ejected(now_ms)
        };
        let mut healthy: Vec<&KnownEndpoint> = usable.iter().filter(is_healthy).copied().collect();
        if healthy.len() * 2 < usable.len() {
            // If most endpoints look unhealthy at once, the cause is rarely the endpoints.
            healthy = usable;
        }
        if placement.demand.is_migration {
            // The copy comes before the request, which would use its permit late.
            let has_no_limit = |known: &&KnownEndpoint| !known.endpoint.is_limited();
            let unlimited: Vec<_> = healthy.iter().copied().filter(has_no_limit).collect();
            if !unlimited.is_empty() {
                healthy = unlimited;
            }
        }
        let key_max = prefill_sort_key_max(&healthy);
        let service_percent = state.prefill_slowness_percent(now_ms, &placement.service);
        healthy
            .into_iter()
            .map(|known| {
                let endpoint = &known.endpoint;
                let cost = self.network_cost(placement, endpoint);
                let candidate = Candidate {
                    copy_tokens_per_s: copy_tokens_per_s / cost.copy_speed_divisor,
                    round_trip_ms: cost.delay_ms,
                    is_cold: known.is_cold,
                    is_preferred_for_prefill: Some(known.prefill_sort_key()) <= key_max,
                    load: endpoint.load(),
                    memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
                    slots: known.slots,
                    slowness_percent: known.slowness_percent * service_percent / 100,
                };
                (Arc::clone(endpoint), candidate)
            })
            .collect()
    }

    /// Whether a migration's copy can complete before the source is gone; `true` for new requests.
    fn is_copy_possible(&self, placement: &PlacementRequest, endpoint: &Endpoint) -> bool {
        let Some(source) = &placement.source_data_centre else {
            return true;
        };
        self.topology.distance(source, &endpoint.data_centre) < Distance::OtherRegion
    }

    fn network_cost(&self, placement: &PlacementRequest, endpoint: &Endpoint) -> NetworkCost {
        let (copy_speed_divisor, delay_ms) = match &placement.source_data_centre {
            None => (1, self.topology.round_trip_ms(&endpoint.data_centre)),
            Some(source) if *source == endpoint.data_centre => (1, 0),
            Some(_) => (REMOTE_COPY_SPEED_DIVISOR, REMOTE_MIGRATION_PENALTY_MS),
        };
        NetworkCost {
            copy_speed_divisor,
            delay_ms,
        }
    }
}

impl FleetState {
    /// Endpoints that may serve a request unless it excludes them, or they are paused or limited.
    pub(super) fn suitable<'a>(
        &'a self,
        placement: &'a PlacementRequest,
    ) -> impl Iterator<Item = &'a KnownEndpoint> {
        self.endpoints.iter().filter(|known| {
            known.endpoint.service == placement.service
                && placement.allows_version(&known.endpoint.software_version)
                && !known.endpoint.is_leaving()
                && (known.is_in_subset || placement.may_leave_subset())
        })
    }

    /// Time until the first endpoint for a request, other than the excluded ones, takes requests
    /// again; 0 unless all of them are paused or have reached their limits.
    pub(super) fn unavailable_ms(
        &self,
        now_ms: u64,
        placement: &PlacementRequest,
        excluded_ids: &[String],
    ) -> u64 {
        self.suitable(placement)
            .filter(|known| !excluded_ids.contains(&known.endpoint.id))
            .map(|known| known.endpoint.unavailable_ms(now_ms))
            .min()
            .unwrap_or(0)
    }
}
