use std::sync::{Arc, Mutex};

use placement::{Load, prefill_engine_count};
use registry::EndpointLoad;

use super::subset::{subset_key, subset_key_max};
use crate::endpoint::Endpoint;
use crate::{EndpointNotice, slowness_percent};

/// Fewest events, over all instances, from which an endpoint's event interval is updated.
const EVENTS_MIN: u32 = 8;

/// Endpoint that has not left, with its last registered and aggregated state.
#[derive(Debug)]
pub(super) struct KnownEndpoint {
    pub(super) endpoint: Arc<Endpoint>,
    /// Whether the endpoint is slow after its start.
    pub(super) is_cold: bool,
    /// Whether the endpoint's aggregated load is subscribed to, so that new requests may go there.
    pub(super) is_in_subset: bool,
    pub(super) is_silent: bool,
    /// Typical interval between events of a stream; `None` until enough events were seen.
    pub(super) interval_us: Option<u64>,
    /// Failures and successes in the last load report of this instance.
    pub(super) reported_counts: (u32, u32),
    /// Load in the last load report of this instance.
    pub(super) reported_load: Load,
    pub(super) slots: u32,
    /// Event interval in percent of the median endpoint's; 100 unless it is much longer.
    pub(super) slowness_percent: u64,
    pub(super) started_at_ms: u64,
}

impl KnownEndpoint {
    pub(super) fn new(
        registration: &registry::Registration,
        notice: Arc<Mutex<EndpointNotice>>,
    ) -> Self {
        Self {
            endpoint: Endpoint::new(registration, notice),
            is_cold: false,
            is_in_subset: true,
            is_silent: false,
            interval_us: None,
            reported_counts: (0, 0),
            reported_load: Load::default(),
            slots: registration.slots,
            slowness_percent: 100,
            started_at_ms: registration.started_at_ms,
        }
    }

    /// Whether a registration is of the same incarnation, address, service and software version.
    pub(super) fn is_same_incarnation(&self, registration: &registry::Registration) -> bool {
        self.started_at_ms == registration.started_at_ms
            && self.endpoint.pool.address() == registration.address
            && self.endpoint.service == registration.service
            && self.endpoint.software_version == registration.software_version
    }

    /// Sort key of engines for requests that are mostly prefill. Slow engines come first, as prefill
    /// takes less engine time than decode.
    pub(super) fn prefill_sort_key(&self) -> (bool, u64) {
        (self.slowness_percent <= 100, self.endpoint.rank)
    }

    /// Applies the aggregate over all instances, which includes this instance's last report.
    pub(super) fn apply_aggregate(&mut self, now_ms: u64, aggregate: Option<&EndpointLoad>) {
        if let Some(aggregate) = aggregate
            && aggregate.events >= EVENTS_MIN
        {
            self.interval_us = Some(aggregate.events_us / u64::from(aggregate.events));
        }
        let (own_failures, own_successes) = self.reported_counts;
        let (other_load, other_failures, other_successes) = match aggregate {
            Some(aggregate) => (
                aggregate.load.saturating_sub(&self.reported_load),
                aggregate.failures.saturating_sub(own_failures),
                aggregate.successes.saturating_sub(own_successes),
            ),
            None => (Load::default(), 0, 0),
        };
        let mut stats = self.endpoint.stats();
        stats.other_load = other_load;
        let (failures, successes) = stats.health.recent_counts(now_ms);
        let failures = failures + other_failures;
        let successes = successes + other_successes;
        stats.health.apply_counts(now_ms, failures, successes);
    }
}

/// Greatest sort key of the engines that are preferred for requests that are mostly prefill.
pub(super) fn prefill_sort_key_max(endpoints: &[&KnownEndpoint]) -> Option<(bool, u64)> {
    let mut keys: Vec<_> = endpoints
        .iter()
        .map(|known| known.prefill_sort_key())
        .collect();
    keys.sort_unstable();
    let count = prefill_engine_count(keys.len());
    keys.get(count.checked_sub(1)?).copied()
}

pub(super) fn update_slowness(endpoints: &mut [KnownEndpoint]) {
    for mut endpoints in group_by_service(endpoints) {
        if endpoints.iter().all(|known| known.interval_us.is_none()) {
            continue;
        }
        let intervals_us: Vec<_> = endpoints.iter().map(|known| known.interval_us).collect();
        for (known, percent) in endpoints.iter_mut().zip(slowness_percent(&intervals_us)) {
            known.slowness_percent = percent;
        }
    }
}

/// Chooses the subset of each service; returns the sorted endpoint ids, or none if all are in.
pub(super) fn choose_subset(endpoints: &mut [KnownEndpoint], seed: u64) -> Vec<String> {
    let mut includes_all = true;
    for mut endpoints in group_by_service(endpoints) {
        let ranks: Vec<u64> = endpoints.iter().map(|known| known.endpoint.rank).collect();
        let key_max = subset_key_max(&ranks, seed);
        includes_all &= key_max.is_none();
        for known in &mut endpoints {
            known.is_in_subset =
                key_max.is_none_or(|key_max| subset_key(known.endpoint.rank, seed) <= key_max);
        }
    }
    if includes_all {
        return Vec::new();
    }
    let subset = endpoints.iter().filter(|known| known.is_in_subset);
    subset.map(|known| known.endpoint.id.clone()).collect()
}

fn group_by_service(endpoints: &mut [KnownEndpoint]) -> Vec<Vec<&mut KnownEndpoint>> {
    let mut services: Vec<(String, Vec<&mut KnownEndpoint>)> = Vec::new();
    for known in endpoints {
        let service = &known.endpoint.service;
        match services.binary_search_by(|group| group.0.cmp(service)) {
            Ok(at) => services[at].1.push(known),
            Err(at) => services.insert(at, (service.clone(), vec![known])),
        }
    }
    services.into_iter().map(|group| group.1).collect()
}
