use dispatch::{
    Action, CustomerIndex, Demand, EndpointLoad, Event, KindIndex, PermitEnd, RegionIndex,
};
use names::{EndpointId, PermitId, RequestId};

use super::{Item, PROGRESS_US, REPORT_US, Simulation, endpoint, usize};
use crate::engine::CacheUpdate;
use crate::experiment::simulation::flights::Flight;
use crate::experiment::sites::{ENGINE_MODEL, SERVICE_MODEL, narrow};

const CACHE_NEWS_US: u64 = 1_000_000;
const HASH_BYTES: u64 = 8;
const REPORT_BYTES: u64 = 48;
const REQUEST_BYTES: u64 = 96;
const US_PER_MS: u64 = 1_000;

/// Bytes of a message about one permit.
pub(super) const PERMIT_BYTES: u64 = 24;

/// How far one permit is.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    generated_tokens: u32,
    permit: PermitId,
}

/// News on its way to the policy.
#[derive(Debug)]
pub(super) enum Message {
    Cached(usize, CacheUpdate),
    Finished(PermitId, PermitEnd, u32),
    Lapsed(usize),
    Leaving(usize),
    Progressed(Vec<Progress>),
    /// Endpoint, time when it was true, and load.
    Reported(usize, u64, EndpointLoad),
    Requested(RequestId),
    Withdrawn(RequestId),
}

impl Simulation<'_> {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Cached(site, news) => self.deliver_cache(site, &news),
            Message::Finished(permit, end, generated_tokens) => self.tell(Event::PermitEnded {
                end,
                generated_tokens,
                permit,
            }),
            Message::Lapsed(site) if self.sites[site].up => {}
            Message::Lapsed(site) => self.tell(Event::EndpointLapsed {
                endpoint: endpoint(site),
            }),
            Message::Leaving(site) => self.tell(Event::EndpointLeaving {
                endpoint: endpoint(site),
            }),
            Message::Progressed(permits) => self.deliver_progress(permits),
            Message::Reported(site, true_us, report) => self.deliver_report(site, true_us, &report),
            Message::Requested(request) => {
                let demand = self.demand(self.arrival_of(request));
                self.tell(Event::RequestArrived {
                    demand: &demand,
                    request,
                });
            }
            Message::Withdrawn(request) => self.tell(Event::RequestWithdrawn { request }),
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Cancel { permit } => {
                let flight = self.permits[&permit];
                let region = self.arrivals[self.flights[flight].arrival].region;
                self.count_bytes(0, region, PERMIT_BYTES);
                let at_us = self.now_us + self.owner_hop_us(region);
                self.queue.push(at_us, Item::CancelFlight(flight));
            }
            Action::Grant {
                endpoint,
                permit,
                priority,
                request,
            } => {
                self.grant(endpoint, permit, priority, request);
            }
            Action::Refuse { request, .. } => self.refuse(request),
        }
    }

    /// Asks the policy for a permit, with a new number at each attempt.
    pub(super) fn ask(&mut self, arrival: usize) {
        let caller = &mut self.callers[arrival];
        let request = RequestId((caller.attempts * self.arrivals.len() + arrival) as u64);
        self.metrics.retries += u64::from(caller.attempts > 0);
        caller.attempts += 1;
        caller.flight = None;
        caller.request = request;
        let region = self.arrivals[arrival].region;
        let hashes = self.arrivals[arrival].prefix_hashes.len() as u64;
        let bytes = REQUEST_BYTES + HASH_BYTES * hashes;
        self.send(region, bytes, Message::Requested(request));
    }

    /// Sends a message from a region to the policy.
    pub(super) fn send(&mut self, region: usize, bytes: u64, message: Message) {
        if self.central {
            self.count_bytes(region, 0, bytes);
        }
        let at_us = self.now_us + self.owner_hop_us(region);
        self.queue.push(at_us, Item::Policy(message));
    }

    pub(super) fn send_progress(&mut self) {
        self.queue.push(self.now_us + PROGRESS_US, Item::Progress);
        let mut batches = vec![Vec::new(); self.load.regions.len()];
        for &flight in &self.live {
            let flight = &mut self.flights[flight];
            if flight.tokens > flight.reported_tokens && !self.sites[flight.site].is_service {
                flight.reported_tokens = flight.tokens;
                let region = self.arrivals[flight.arrival].region;
                let (generated_tokens, permit) = (flight.tokens, flight.permit);
                batches[region].push(Progress {
                    generated_tokens,
                    permit,
                });
            }
        }
        for (region, batch) in batches.into_iter().enumerate() {
            let bytes = batch.len() as u64 * PERMIT_BYTES;
            self.send(region, bytes, Message::Progressed(batch));
        }
    }

    pub(super) fn send_report(&mut self, site: usize) {
        self.queue.push(self.now_us + REPORT_US, Item::Report(site));
        if !self.sites[site].up {
            return;
        }
        let report = self.sites[site].engine.load(self.now_us);
        let news = self.sites[site].engine.take_cache_update();
        let report = Message::Reported(site, self.now_us, report);
        let at_us = self.now_us + self.scenario.lag_us();
        self.queue.push(at_us, Item::Policy(report));
        let others = self.load.regions.len() as u64 - 1;
        let copies = if self.central { 1 } else { others };
        self.metrics.across_bytes += REPORT_BYTES * copies;
        let late_us = self.draw.below(CACHE_NEWS_US);
        if self.draw.unit() >= self.scenario.gap_part() {
            let news = Message::Cached(site, news);
            self.queue.push(at_us + late_us, Item::Policy(news));
        }
    }

    fn deliver_cache(&mut self, site: usize, news: &CacheUpdate) {
        let (added, evicted) = (news.added.as_slice(), news.evicted.as_slice());
        let endpoint = endpoint(site);
        self.tell(Event::BlocksEvicted {
            endpoint,
            hashes: evicted,
        });
        self.tell(Event::BlocksCached {
            endpoint,
            hashes: added,
        });
    }

    fn deliver_progress(&mut self, permits: Vec<Progress>) {
        for Progress {
            generated_tokens,
            permit,
        } in permits
        {
            self.tell(Event::GenerationProgressed {
                generated_tokens,
                permit,
            });
        }
    }

    fn deliver_report(&mut self, site: usize, true_us: u64, report: &EndpointLoad) {
        let age_us = self.now_us - true_us;
        let endpoint = endpoint(site);
        self.tell(Event::LoadReported {
            age_us,
            endpoint,
            load: report,
        });
    }

    fn demand(&self, arrival: usize) -> Demand {
        let arrival = &self.arrivals[arrival];
        let kind = &self.load.kinds[arrival.kind];
        let wait_us = kind.wait_ms_max * US_PER_MS;
        Demand {
            customer: CustomerIndex(narrow(arrival.customer)),
            deadline_us: arrival.at_us + wait_us,
            kind: KindIndex(narrow(arrival.kind)),
            max_tokens: if kind.service { 1 } else { kind.max_tokens },
            model: if kind.service {
                SERVICE_MODEL
            } else {
                ENGINE_MODEL
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            prompt_tokens: arrival.prompt_tokens,
            region: RegionIndex(narrow(arrival.region)),
            urgent: arrival.urgent,
        }
    }

    fn grant(&mut self, on: EndpointId, permit: PermitId, priority: i32, request: RequestId) {
        let arrival = self.arrival_of(request);
        let region = self.arrivals[arrival].region;
        let site = usize(on.0);
        let service = self.load.kinds[self.arrivals[arrival].kind].service;
        assert_eq!(
            self.sites[site].is_service, service,
            "a grant names a fitting endpoint"
        );
        let flight = self.flights.len();
        self.flights
            .push(Flight::new(arrival, permit, priority, site));
        let doubled = self.permits.insert(permit, flight);
        assert!(doubled.is_none(), "a permit number is used once");
        if self.central {
            self.count_bytes(0, region, PERMIT_BYTES);
        }
        let path_us = self.owner_hop_us(region) + self.hop_us(region, self.sites[site].region);
        self.queue.push(self.now_us + path_us, Item::Start(flight));
    }
}
