use std::collections::BTreeMap;

use dispatch::{Action, CustomerIndex, Demand, Event, KindIndex, ModelIndex, PermitEnd, RowLimits};
use names::{EndpointId, PermitId, RequestId};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Number of simulated entry instances.
pub(crate) const ENTRY_COUNT: usize = 9;
/// Time for which an endpoint gets no requests after a failed or refused one.
const FAILURE_EXCLUSION_US: u64 = 3_000_000;

/// View that each entry instance has of the endpoints.
#[derive(Debug)]
pub(crate) struct EntryViews {
    endpoints: Vec<KnownEndpoint>,
    next_permit: u64,
    permits: BTreeMap<PermitId, EndpointId>,
    /// Priority of each row, sorted by row.
    priorities: Vec<((CustomerIndex, KindIndex), i32)>,
    random: Xoshiro256PlusPlus,
}

/// One endpoint in the views of the entry instances.
#[derive(Debug)]
pub(crate) struct KnownEndpoint {
    excluded_until_us: u64,
    pub(crate) id: EndpointId,
    is_ready: bool,
    model: ModelIndex,
    /// Running and waiting requests in the last load report.
    reported_requests: u32,
    /// Times at which each entry sent requests after the last load report was measured.
    sent_at_us: [Vec<u64>; ENTRY_COUNT],
}

impl KnownEndpoint {
    /// Number of requests that an entry expects at the endpoint.
    pub(crate) fn estimated_requests(&self, entry: usize) -> usize {
        self.reported_requests as usize + self.sent_at_us[entry].len()
    }
}

impl EntryViews {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            next_permit: 0,
            permits: BTreeMap::new(),
            priorities: Vec::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    pub(crate) fn random_index(&mut self) -> usize {
        usize::try_from(self.random.next_u64() >> 32).unwrap_or(0)
    }

    /// Ready endpoints without recent failures; all ready endpoints if each has failed recently.
    pub(crate) fn eligible(&self, now_us: u64, model: ModelIndex) -> Vec<&KnownEndpoint> {
        let ready = || {
            self.endpoints
                .iter()
                .filter(|known| known.is_ready && known.model == model)
        };
        let eligible: Vec<&KnownEndpoint> = ready()
            .filter(|known| known.excluded_until_us <= now_us)
            .collect();
        if eligible.is_empty() {
            ready().collect()
        } else {
            eligible
        }
    }

    /// Index of the entry instance that received a request.
    pub(crate) fn entry(request: RequestId) -> usize {
        usize::try_from(request.0 % ENTRY_COUNT as u64).unwrap_or(0)
    }

    pub(crate) fn grant(
        &mut self,
        now_us: u64,
        endpoint: EndpointId,
        demand: &Demand,
        request: RequestId,
    ) -> Action {
        let permit = PermitId(self.next_permit);
        self.next_permit += 1;
        self.permits.insert(permit, endpoint);
        if let Some(known) = self.endpoints.iter_mut().find(|known| known.id == endpoint) {
            known.sent_at_us[Self::entry(request)].push(now_us);
        }
        let row = (demand.customer, demand.kind);
        let found = self.priorities.binary_search_by_key(&row, |(row, _)| *row);
        let priority = found.map_or(0, |position| self.priorities[position].1);
        Action::Grant {
            endpoint,
            permit,
            priority,
            request,
        }
    }

    /// Updates the views; ignores the arrival of requests.
    pub(crate) fn apply_event(&mut self, now_us: u64, event: &Event<'_>) {
        match event {
            Event::EndpointAnnounced { endpoint, profile } => {
                self.add_endpoint(*endpoint, profile.model);
            }
            Event::PermitEnded { end, permit, .. } => self.end_permit(now_us, *end, *permit),
            Event::EndpointLapsed { endpoint } | Event::EndpointLeaving { endpoint } => {
                self.update_endpoint(*endpoint, |known| known.is_ready = false);
            }
            Event::LimitsChanged { limits } => self.set_priorities(limits),
            Event::LoadReported {
                age_us,
                endpoint,
                load,
            } => {
                let measured_us = now_us - age_us;
                self.update_endpoint(*endpoint, |known| {
                    known.reported_requests = load.running + load.waiting;
                    for sent_at_us in &mut known.sent_at_us {
                        sent_at_us.retain(|sent_at_us| *sent_at_us > measured_us);
                    }
                });
            }
            _ => {}
        }
    }

    fn add_endpoint(&mut self, endpoint: EndpointId, model: ModelIndex) {
        self.endpoints.retain(|known| known.id != endpoint);
        let position = self.endpoints.partition_point(|known| known.id < endpoint);
        let known = KnownEndpoint {
            excluded_until_us: 0,
            id: endpoint,
            is_ready: true,
            model,
            reported_requests: 0,
            sent_at_us: Default::default(),
        };
        self.endpoints.insert(position, known);
    }

    fn update_endpoint(&mut self, endpoint: EndpointId, update: impl FnOnce(&mut KnownEndpoint)) {
        if let Some(known) = self.endpoints.iter_mut().find(|known| known.id == endpoint) {
            update(known);
        }
    }

    fn end_permit(&mut self, now_us: u64, end: PermitEnd, permit: PermitId) {
        let endpoint = self.permits.remove(&permit);
        if let Some(endpoint) =
            endpoint.filter(|_| matches!(end, PermitEnd::Failed | PermitEnd::Refused))
        {
            self.update_endpoint(endpoint, |known| {
                known.excluded_until_us = now_us + FAILURE_EXCLUSION_US;
            });
        }
    }

    fn set_priorities(&mut self, limits: &[RowLimits]) {
        let rows = limits
            .iter()
            .map(|row| ((row.customer, row.kind), row.priority));
        self.priorities = rows.collect();
        self.priorities.sort_unstable();
    }
}
