use std::collections::BTreeMap;

use dispatch::{Action, CustomerIndex, Demand, Event, KindIndex, ModelIndex, PermitEnd, RowLimits};
use names::{EndpointId, PermitId, RequestId};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Entry instances in front of the engines.
pub(crate) const ENTRIES: usize = 9;
/// How long an endpoint that failed a call is left out.
const FAILURE_PAUSE_US: u64 = 3_000_000;

/// What all entries know, and each entry on its own.
#[derive(Debug)]
pub(crate) struct EntryViews {
    draw: Xoshiro256PlusPlus,
    known: Vec<Known>,
    next_permit: u64,
    permits: BTreeMap<PermitId, EndpointId>,
    priorities: Vec<((CustomerIndex, KindIndex), i32)>,
}

/// One endpoint as the entries see it.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) endpoint: EndpointId,
    failed_until_us: u64,
    model: ModelIndex,
    ready: bool,
    reported: u32,
    /// When each entry sent requests that the last report cannot include.
    sent_us: [Vec<u64>; ENTRIES],
}

impl Known {
    /// Requests that an entry believes to be at the endpoint.
    pub(crate) fn requests(&self, entry: usize) -> usize {
        self.reported as usize + self.sent_us[entry].len()
    }
}

impl EntryViews {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            draw: Xoshiro256PlusPlus::seed_from_u64(seed),
            known: Vec::new(),
            next_permit: 0,
            permits: BTreeMap::new(),
            priorities: Vec::new(),
        }
    }

    pub(crate) fn draw(&mut self) -> usize {
        usize::try_from(self.draw.next_u64() >> 32).unwrap_or(0)
    }

    /// Endpoints that may take a request; all ready ones if each has failed of late.
    pub(crate) fn open(&self, now_us: u64, model: ModelIndex) -> Vec<&Known> {
        let ready = || {
            self.known
                .iter()
                .filter(|known| known.ready && known.model == model)
        };
        let open: Vec<&Known> = ready()
            .filter(|known| known.failed_until_us <= now_us)
            .collect();
        if open.is_empty() {
            ready().collect()
        } else {
            open
        }
    }

    /// The entry that a request came through.
    pub(crate) fn entry(request: RequestId) -> usize {
        usize::try_from(request.0 % ENTRIES as u64).unwrap_or(0)
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
        if let Some(known) = self
            .known
            .iter_mut()
            .find(|known| known.endpoint == endpoint)
        {
            known.sent_us[Self::entry(request)].push(now_us);
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

    /// Takes in what is not a request.
    pub(crate) fn observe(&mut self, now_us: u64, event: &Event<'_>) {
        match event {
            Event::EndpointAnnounced { endpoint, profile } => {
                self.announce(*endpoint, profile.model);
            }
            Event::PermitEnded { end, permit, .. } => self.finish(now_us, *end, *permit),
            Event::EndpointLapsed { endpoint } | Event::EndpointLeaving { endpoint } => {
                self.change(*endpoint, |known| known.ready = false);
            }
            Event::LimitsChanged { limits } => self.set_priorities(limits),
            Event::LoadReported {
                age_us,
                endpoint,
                load: report,
            } => {
                let true_us = now_us - age_us;
                self.change(*endpoint, |known| {
                    known.reported = report.running + report.waiting;
                    for sent_us in &mut known.sent_us {
                        sent_us.retain(|sent_us| *sent_us > true_us);
                    }
                });
            }
            _ => {}
        }
    }

    fn announce(&mut self, endpoint: EndpointId, model: ModelIndex) {
        self.known.retain(|known| known.endpoint != endpoint);
        let position = self
            .known
            .partition_point(|known| known.endpoint < endpoint);
        let known = Known {
            endpoint,
            failed_until_us: 0,
            model,
            ready: true,
            reported: 0,
            sent_us: Default::default(),
        };
        self.known.insert(position, known);
    }

    fn change(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut Known)) {
        if let Some(known) = self
            .known
            .iter_mut()
            .find(|known| known.endpoint == endpoint)
        {
            change(known);
        }
    }

    fn finish(&mut self, now_us: u64, end: PermitEnd, permit: PermitId) {
        let endpoint = self.permits.remove(&permit);
        if let Some(endpoint) =
            endpoint.filter(|_| matches!(end, PermitEnd::Failed | PermitEnd::Refused))
        {
            self.change(endpoint, |known| {
                known.failed_until_us = now_us + FAILURE_PAUSE_US;
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
