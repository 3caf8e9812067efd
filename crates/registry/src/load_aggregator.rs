//! Sums what the instances run on each endpoint, and reserves room.
//!
//! Pattern: many instances that choose by the same old sums crowd the same engine. A reservation
//! counts as load from the moment it is made until a report of its instance covers it, so that the
//! next one sees it.

use placement::{Demand, Load, choose_candidate};

use crate::{
    AggregatedLoads, CoveredReservations, EndpointLoad, LoadReport, ReservationAnswer,
    ReservationOption, ReservationRequest, ServiceLoad, SubscribedEndpoints,
};

/// Time after which the report of an instance that sends no more counts for nothing; ten reports
/// are sent in it.
const REPORT_TTL_MS: u64 = 1_500;

/// Time from the first report in which the others are awaited: the longest time between two
/// reports of an instance, and its way here.
const SETTLE_MS: u64 = 350;

/// Sums of what the instances run on each endpoint.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    first_report_ms: Option<u64>,
    /// Sorted by instance.
    reports: Vec<Reported>,
    /// Sorted by instance and number.
    reserved: Vec<Reserved>,
    /// Sums of all reports, sorted by endpoint.
    sums: Vec<EndpointLoad>,
}

#[derive(Debug)]
struct Reported {
    at_ms: u64,
    /// Names of the endpoints whose sums it wants; none where it wants all.
    subscribed_endpoints: Option<Vec<String>>,
    report: LoadReport,
}

#[derive(Debug)]
struct Reserved {
    at_ms: u64,
    endpoint: String,
    instance: String,
    load: Load,
    number: u64,
}

impl LoadAggregator {
    /// Replaces the report of an instance, and gives the sums.
    pub fn exchange(&mut self, now_ms: u64, report: LoadReport) -> AggregatedLoads {
        self.forget(now_ms);
        self.release(&report.instance, &report.reservations);
        self.first_report_ms.get_or_insert(now_ms);
        for load in &report.loads {
            self.add(load);
        }
        let instance = report.instance.clone();
        let found = self
            .reports
            .binary_search_by(|known| known.report.instance.cmp(&instance));
        let (subscribed_endpoints, needs_endpoint_names) =
            match (&report.subscribed_endpoints, found) {
                (SubscribedEndpoints::All, _) => (None, false),
                (SubscribedEndpoints::Named(names), _) => (Some(names.clone()), false),
                (SubscribedEndpoints::Unchanged, Ok(at)) => {
                    (self.reports[at].subscribed_endpoints.take(), false)
                }
                (SubscribedEndpoints::Unchanged, Err(_)) => (None, true),
            };
        let reported = Reported {
            at_ms: now_ms,
            subscribed_endpoints,
            report,
        };
        match found {
            Ok(at) => {
                let older = std::mem::replace(&mut self.reports[at], reported);
                self.subtract(&older.report);
            }
            Err(at) => self.reports.insert(at, reported),
        }
        let (Ok(at) | Err(at)) = found;
        let loads = self.loads(&instance, self.reports[at].subscribed_endpoints.as_deref());
        AggregatedLoads {
            needs_endpoint_names,
            instances: u32::try_from(self.reports.len()).unwrap_or(u32::MAX),
            loads,
            services: self.service_totals(),
        }
    }

    /// Reserves room on the best of some endpoints; `draw` decides between nearly equal ones.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        request: &ReservationRequest,
        draw: u64,
    ) -> ReservationAnswer {
        self.forget(now_ms);
        let is_settled = |first_ms| now_ms >= first_ms + SETTLE_MS;
        if !self.first_report_ms.is_some_and(is_settled) {
            return ReservationAnswer::LoadsUnknown;
        }
        let options = request.options.iter();
        let candidates: Vec<_> = options
            .map(|option| {
                let mut candidate = option.candidate;
                candidate.load = self.load(&option.id);
                candidate
            })
            .collect();
        match choose_candidate(&candidates, &request.demand, 0, draw) {
            Some(at) => {
                self.note_reserved(now_ms, request, &request.options[at], &request.demand);
                ReservationAnswer::Reserved(at)
            }
            None => ReservationAnswer::Full,
        }
    }

    /// What all instances run on an endpoint, and what is expected there.
    fn load(&self, endpoint: &str) -> Load {
        let found = self
            .sums
            .binary_search_by(|sum| sum.id.as_str().cmp(endpoint));
        let mut load = found.map_or_else(|_| Load::default(), |at| self.sums[at].load);
        for reserved in &self.reserved {
            if reserved.endpoint == endpoint {
                load.add(&reserved.load);
            }
        }
        load
    }

    fn note_reserved(
        &mut self,
        now_ms: u64,
        request: &ReservationRequest,
        option: &ReservationOption,
        demand: &Demand,
    ) {
        let key = (request.instance.as_str(), request.number);
        let at = self.reserved.partition_point(|known| known.key() < key);
        let reserved = Reserved {
            at_ms: now_ms,
            endpoint: option.id.clone(),
            instance: request.instance.clone(),
            load: Load::from(demand),
            number: request.number,
        };
        self.reserved.insert(at, reserved);
    }

    /// Drops reservations that are part of a report.
    fn release(&mut self, instance: &str, seen: &CoveredReservations) {
        self.reserved.retain(|known| {
            known.instance != instance
                || known.number >= seen.next_number
                || seen.pending_numbers.binary_search(&known.number).is_ok()
        });
    }

    /// Drops what instances said that have fallen silent.
    fn forget(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| now_ms.saturating_sub(at_ms) >= REPORT_TTL_MS;
        self.reserved.retain(|known| !is_old(known.at_ms));
        let silent = self
            .reports
            .extract_if(.., |known| is_old(known.at_ms))
            .collect::<Vec<_>>();
        for reported in silent {
            self.subtract(&reported.report);
        }
        if self.reports.is_empty() {
            self.first_report_ms = None;
        }
    }

    fn add(&mut self, load: &EndpointLoad) {
        match self.sums.binary_search_by(|sum| sum.id.cmp(&load.id)) {
            Ok(at) => self.sums[at].add(load),
            Err(at) => self.sums.insert(at, load.clone()),
        }
    }

    fn subtract(&mut self, report: &LoadReport) {
        for load in &report.loads {
            if let Ok(at) = self.sums.binary_search_by(|sum| sum.id.cmp(&load.id)) {
                self.sums[at].subtract(load);
                if self.sums[at].is_empty() {
                    self.sums.remove(at);
                }
            }
        }
    }

    /// Sums of the endpoints that an instance follows, with what others have reserved there.
    fn loads(&self, instance: &str, subscribed_endpoints: Option<&[String]>) -> Vec<EndpointLoad> {
        let Some(names) = subscribed_endpoints else {
            let mut loads = self.sums.clone();
            self.add_reserved(instance, &mut loads, |_| true);
            return loads;
        };
        let find = |name: &String| {
            let found = self.sums.binary_search_by(|sum| sum.id.cmp(name));
            found.ok().map(|at| self.sums[at].clone())
        };
        let mut loads: Vec<EndpointLoad> = names.iter().filter_map(find).collect();
        self.add_reserved(instance, &mut loads, |id| {
            names.binary_search_by(|name| name.as_str().cmp(id)).is_ok()
        });
        loads
    }

    fn add_reserved(
        &self,
        instance: &str,
        loads: &mut Vec<EndpointLoad>,
        is_wanted: impl Fn(&str) -> bool,
    ) {
        for reserved in &self.reserved {
            if reserved.instance == instance || !is_wanted(&reserved.endpoint) {
                continue;
            }
            match loads.binary_search_by(|sum| sum.id.cmp(&reserved.endpoint)) {
                Ok(at) => loads[at].load.add(&reserved.load),
                Err(at) => loads.insert(
                    at,
                    EndpointLoad {
                        id: reserved.endpoint.clone(),
                        load: reserved.load,
                        ..EndpointLoad::default()
                    },
                ),
            }
        }
    }

    fn service_totals(&self) -> Vec<ServiceLoad> {
        let mut services: Vec<ServiceLoad> = Vec::new();
        for load in self.reports.iter().flat_map(|known| &known.report.services) {
            match services.binary_search_by(|sum| sum.name.cmp(&load.name)) {
                Ok(at) => {
                    services[at].retries += load.retries;
                    services[at].requests += load.requests;
                }
                Err(at) => services.insert(at, load.clone()),
            }
        }
        services
    }
}

impl Reserved {
    fn key(&self) -> (&str, u64) {
        (&self.instance, self.number)
    }
}

impl EndpointLoad {
    fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.events_us += other.events_us;
        self.failures += other.failures;
        self.load.add(&other.load);
        self.successes += other.successes;
    }

    fn subtract(&mut self, other: &Self) {
        self.events -= other.events;
        self.events_us -= other.events_us;
        self.failures -= other.failures;
        self.load = self.load.saturating_sub(&other.load);
        self.successes -= other.successes;
    }

    fn is_empty(&self) -> bool {
        self.events + self.failures + self.successes == 0 && self.load == Load::default()
    }
}
