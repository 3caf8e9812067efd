//! Aggregates the load reports of all instances per endpoint, and reserves capacity.
//!
//! If many instances choose by the same outdated load, they all choose the same engine. So a
//! reservation counts as load from the moment it is made until a report of its instance covers it,
//! and the next request already sees it.

use placement::{Demand, Load, choose_candidate};

use crate::{
    AggregatedLoads, CoveredReservations, EndpointLimits, EndpointLoad, LoadReport, PermitAnswer,
    PermitRequest, ReservationAnswer, ReservationOption, ReservationRequest, ServiceLoad,
    SubscribedEndpoints,
};

/// Time after which the last report of an instance is dropped; an instance sends ten reports in it.
const REPORT_TTL_MS: u64 = 1_500;

/// Time from the first report until the loads of all instances are known: the longest time between
/// two reports of an instance, and the time to receive one.
const WARM_UP_MS: u64 = 350;

/// Aggregated load of all instances on each endpoint, with reservations that no report covers yet.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    /// Sum of all reports, sorted by endpoint.
    aggregated: Vec<EndpointLoad>,
    first_report_ms: Option<u64>,
    limits: EndpointLimits,
    /// Sorted by instance.
    reports: Vec<ReceivedReport>,
    /// Sorted by instance and number.
    uncovered_reservations: Vec<UncoveredReservation>,
}

/// Latest report of an instance.
#[derive(Debug)]
struct ReceivedReport {
    received_at_ms: u64,
    report: LoadReport,
    /// Sorted names of the endpoints that the instance subscribes to; `None` for all.
    subscribed_endpoints: Option<Vec<String>>,
}

/// Reservation that counts as load until a report of its instance covers it.
#[derive(Debug)]
struct UncoveredReservation {
    endpoint: String,
    instance: String,
    load: Load,
    number: u64,
    reserved_at_ms: u64,
}

impl LoadAggregator {
    /// Replaces the report of an instance, and returns the aggregated load for it.
    pub fn apply_report(&mut self, now_ms: u64, report: LoadReport) -> AggregatedLoads {
        self.expire(now_ms);
        self.remove_covered(&report.instance, &report.reservations);
        self.first_report_ms.get_or_insert(now_ms);
        for load in &report.loads {
            self.add(load);
        }
        let instance = report.instance.clone();
        let found = self
            .reports
            .binary_search_by(|received| received.report.instance.cmp(&instance));
        let (subscribed_endpoints, needs_endpoint_names) =
            match (&report.subscribed_endpoints, found) {
                (SubscribedEndpoints::All, _) => (None, false),
                (SubscribedEndpoints::Named(names), _) => (Some(names.clone()), false),
                (SubscribedEndpoints::Unchanged, Ok(index)) => {
                    (self.reports[index].subscribed_endpoints.take(), false)
                }
                (SubscribedEndpoints::Unchanged, Err(_)) => (None, true),
            };
        let received = ReceivedReport {
            received_at_ms: now_ms,
            report,
            subscribed_endpoints,
        };
        match found {
            Ok(index) => {
                let previous = std::mem::replace(&mut self.reports[index], received);
                self.subtract(&previous.report);
            }
            Err(index) => self.reports.insert(index, received),
        }
        let (Ok(index) | Err(index)) = found;
        for limit in &self.reports[index].report.limits {
            self.limits.record(now_ms, limit);
        }
        let subscribed_endpoints = self.reports[index].subscribed_endpoints.as_deref();
        let loads = self.loads(&instance, subscribed_endpoints);
        let is_subscribed = |id: &str| {
            subscribed_endpoints
                .is_none_or(|names| names.binary_search_by(|name| name.as_str().cmp(id)).is_ok())
        };
        AggregatedLoads {
            needs_endpoint_names,
            instances: u32::try_from(self.reports.len()).unwrap_or(u32::MAX),
            limits: self.limits.published(now_ms, is_subscribed),
            loads,
            services: self.aggregated_services(),
        }
    }

    /// Reserves capacity on the best option; `random` decides between nearly equal ones.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        request: &ReservationRequest,
        random: u64,
    ) -> ReservationAnswer {
        self.expire(now_ms);
        let is_warmed_up = |first_ms| now_ms >= first_ms + WARM_UP_MS;
        if !self.first_report_ms.is_some_and(is_warmed_up) {
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
        match choose_candidate(&candidates, &request.demand, 0, random) {
            Some(index) => {
                self.add_reservation(now_ms, request, &request.options[index], &request.demand);
                ReservationAnswer::Reserved(index)
            }
            None => ReservationAnswer::Full,
        }
    }

    /// Grants permits for requests to limited endpoints, one answer for each request.
    pub fn grant_permits(&mut self, now_ms: u64, requests: &[PermitRequest]) -> Vec<PermitAnswer> {
        self.limits.expire(now_ms);
        let instances = self.reports.len() as u64;
        let requests = requests.iter();
        requests
            .map(|request| self.limits.grant(now_ms, request, instances))
            .collect()
    }

    /// Load of all instances on an endpoint, including uncovered reservations.
    fn load(&self, endpoint: &str) -> Load {
        let found = self
            .aggregated
            .binary_search_by(|load| load.id.as_str().cmp(endpoint));
        let mut load = found.map_or_else(|_| Load::default(), |index| self.aggregated[index].load);
        for reservation in &self.uncovered_reservations {
            if reservation.endpoint == endpoint {
                load.add(&reservation.load);
            }
        }
        load
    }

    fn add_reservation(
        &mut self,
        now_ms: u64,
        request: &ReservationRequest,
        option: &ReservationOption,
        demand: &Demand,
    ) {
        let key = (request.instance.as_str(), request.number);
        let index = self
            .uncovered_reservations
            .partition_point(|reservation| reservation.key() < key);
        let reservation = UncoveredReservation {
            endpoint: option.id.clone(),
            instance: request.instance.clone(),
            load: Load::from(demand),
            number: request.number,
            reserved_at_ms: now_ms,
        };
        self.uncovered_reservations.insert(index, reservation);
    }

    /// Removes the reservations of an instance that its report covers.
    fn remove_covered(&mut self, instance: &str, covered: &CoveredReservations) {
        self.uncovered_reservations.retain(|reservation| {
            reservation.instance != instance
                || reservation.number >= covered.next_number
                || covered
                    .pending_numbers
                    .binary_search(&reservation.number)
                    .is_ok()
        });
    }

    /// Removes reports and reservations that are older than [`REPORT_TTL_MS`].
    fn expire(&mut self, now_ms: u64) {
        let is_expired = |at_ms: u64| now_ms.saturating_sub(at_ms) >= REPORT_TTL_MS;
        self.uncovered_reservations
            .retain(|reservation| !is_expired(reservation.reserved_at_ms));
        let expired_reports = self
            .reports
            .extract_if(.., |received| is_expired(received.received_at_ms))
            .collect::<Vec<_>>();
        for received in expired_reports {
            self.subtract(&received.report);
        }
        if self.reports.is_empty() {
            self.first_report_ms = None;
        }
    }

    fn add(&mut self, load: &EndpointLoad) {
        match self
            .aggregated
            .binary_search_by(|known| known.id.cmp(&load.id))
        {
            Ok(index) => self.aggregated[index].add(load),
            Err(index) => self.aggregated.insert(index, load.clone()),
        }
    }

    fn subtract(&mut self, report: &LoadReport) {
        for load in &report.loads {
            if let Ok(index) = self
                .aggregated
                .binary_search_by(|known| known.id.cmp(&load.id))
            {
                self.aggregated[index].subtract(load);
                if self.aggregated[index].is_empty() {
                    self.aggregated.remove(index);
                }
            }
        }
    }

    /// Aggregated load of the endpoints that an instance subscribes to, including the uncovered
    /// reservations of other instances.
    fn loads(&self, instance: &str, subscribed_endpoints: Option<&[String]>) -> Vec<EndpointLoad> {
        let Some(names) = subscribed_endpoints else {
            let mut loads = self.aggregated.clone();
            self.add_reservations_of_others(instance, &mut loads, |_| true);
            return loads;
        };
        let find_load = |name: &String| {
            let found = self.aggregated.binary_search_by(|load| load.id.cmp(name));
            found.ok().map(|index| self.aggregated[index].clone())
        };
        let mut loads: Vec<EndpointLoad> = names.iter().filter_map(find_load).collect();
        self.add_reservations_of_others(instance, &mut loads, |id| {
            names.binary_search_by(|name| name.as_str().cmp(id)).is_ok()
        });
        loads
    }

    fn add_reservations_of_others(
        &self,
        instance: &str,
        loads: &mut Vec<EndpointLoad>,
        is_subscribed: impl Fn(&str) -> bool,
    ) {
        for reservation in &self.uncovered_reservations {
            if reservation.instance == instance || !is_subscribed(&reservation.endpoint) {
                continue;
            }
            match loads.binary_search_by(|load| load.id.cmp(&reservation.endpoint)) {
                Ok(index) => loads[index].load.add(&reservation.load),
                Err(index) => loads.insert(
                    index,
                    EndpointLoad {
                        id: reservation.endpoint.clone(),
                        load: reservation.load,
                        ..EndpointLoad::default()
                    },
                ),
            }
        }
    }

    fn aggregated_services(&self) -> Vec<ServiceLoad> {
        let mut services: Vec<ServiceLoad> = Vec::new();
        let reports = self.reports.iter();
        for load in reports.flat_map(|received| &received.report.services) {
            match services.binary_search_by(|service| service.name.cmp(&load.name)) {
                Ok(index) => {
                    services[index].retries += load.retries;
                    services[index].requests += load.requests;
                }
                Err(index) => services.insert(index, load.clone()),
            }
        }
        services
    }
}

impl UncoveredReservation {
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
