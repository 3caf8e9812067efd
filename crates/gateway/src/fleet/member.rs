//! What an instance knows of each endpoint of its fleet.

use std::sync::Arc;

use placement::{Load, prefill_engine_count};
use registry::EndpointLoad;

use super::following::{subset_key, subset_key_max};
use crate::endpoint::Endpoint;
use crate::slowness_percent;

/// Events of all instances from which an endpoint's pace is known.
const EVENTS_MIN: u32 = 8;

/// An endpoint, with what all instances run there.
#[derive(Debug)]
pub(super) struct Member {
    started_at_ms: u64,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) is_cold: bool,
    /// Whether new requests may go there, as its load is followed.
    pub(super) is_followed: bool,
    pub(super) is_silent: bool,
    /// Typical time of an event, as last known.
    pub(super) interval_us: Option<u64>,
    pub(super) reported: Load,
    pub(super) reported_outcomes: (u32, u32),
    pub(super) slots: u32,
    /// Time that its work takes, in percent of that of the median endpoint.
    pub(super) slowness_percent: u64,
}

impl Member {
    pub(super) fn new(registration: &registry::Registration) -> Self {
        Self {
            started_at_ms: registration.started_at_ms,
            endpoint: Endpoint::new(registration),
            is_cold: false,
            is_followed: true,
            is_silent: false,
            interval_us: None,
            reported: Load::default(),
            reported_outcomes: (0, 0),
            slots: registration.slots,
            slowness_percent: 100,
        }
    }

    /// Whether it is the incarnation that a registration is of.
    pub(super) fn is(&self, registration: &registry::Registration) -> bool {
        self.started_at_ms == registration.started_at_ms
            && self.endpoint.pool.address() == registration.address
            && self.endpoint.service == registration.service
    }

    /// Order in which endpoints are set apart for requests that mostly read: slow ones first, as
    /// reading takes less of the engines' time than writing.
    pub(super) fn reading_rank(&self) -> (bool, u64) {
        (self.slowness_percent <= 100, self.endpoint.rank)
    }

    /// Takes the sums over all instances, of which this one's last report is a part.
    pub(super) fn set_total(&mut self, now_ms: u64, total: Option<&EndpointLoad>) {
        if let Some(total) = total
            && total.events >= EVENTS_MIN
        {
            self.interval_us = Some(total.events_us / u64::from(total.events));
        }
        let (own_failures, own_successes) = self.reported_outcomes;
        let (others, failures_elsewhere, successes_elsewhere) = match total {
            Some(total) => (
                total.load.saturating_sub(&self.reported),
                total.failures.saturating_sub(own_failures),
                total.successes.saturating_sub(own_successes),
            ),
            None => (Load::default(), 0, 0),
        };
        let mut own = self.endpoint.own();
        own.others = others;
        let (failures, successes) = own.health.recent_counts(now_ms);
        let failures = failures + failures_elsewhere;
        let successes = successes + successes_elsewhere;
        own.health.apply_counts(now_ms, failures, successes);
    }
}

/// Greatest rank of the engines that are preferred for requests that mostly read.
pub(super) fn last_for_reading(members: &[&Member]) -> Option<(bool, u64)> {
    let mut ranks: Vec<_> = members.iter().map(|member| member.reading_rank()).collect();
    ranks.sort_unstable();
    let count = prefill_engine_count(ranks.len());
    ranks.get(count.checked_sub(1)?).copied()
}

/// Compares the endpoints of each service.
pub(super) fn compare_paces(members: &mut [Member]) {
    for mut members in by_service(members) {
        if members.iter().all(|member| member.interval_us.is_none()) {
            continue;
        }
        let intervals_us: Vec<_> = members.iter().map(|member| member.interval_us).collect();
        for (member, percent) in members.iter_mut().zip(slowness_percent(&intervals_us)) {
            member.slowness_percent = percent;
        }
    }
}

/// Chooses the endpoints of each service that are followed; their names are sorted, and empty where
/// all are.
pub(super) fn follow(members: &mut [Member], seed: u64) -> Vec<String> {
    let mut are_all = true;
    for mut members in by_service(members) {
        let ranks: Vec<u64> = members.iter().map(|member| member.endpoint.rank).collect();
        let last = subset_key_max(&ranks, seed);
        are_all &= last.is_none();
        for member in &mut members {
            member.is_followed =
                last.is_none_or(|last| subset_key(member.endpoint.rank, seed) <= last);
        }
    }
    if are_all {
        return Vec::new();
    }
    let followed = members.iter().filter(|member| member.is_followed);
    followed.map(|member| member.endpoint.id.clone()).collect()
}

fn by_service(members: &mut [Member]) -> Vec<Vec<&mut Member>> {
    let mut services: Vec<(String, Vec<&mut Member>)> = Vec::new();
    for member in members {
        let service = &member.endpoint.service;
        match services.binary_search_by(|known| known.0.cmp(service)) {
            Ok(at) => services[at].1.push(member),
            Err(at) => services.insert(at, (service.clone(), vec![member])),
        }
    }
    services.into_iter().map(|service| service.1).collect()
}
