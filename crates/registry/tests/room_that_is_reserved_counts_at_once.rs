//! Reservations count as load from the moment they are made. Without them, many instances that
//! choose by the same outdated load would all choose the same engine.

use placement::{Candidate, Demand, Load};
use registry::{
    CoveredReservations, EndpointLoad, LoadAggregator, LoadReport, ReservationAnswer,
    ReservationOption, ReservationRequest, SubscribedEndpoints,
};

const ENGINES: usize = 72;
/// Time at which the loads of all instances are known: long after the first report.
const NOW_MS: u64 = 1_000;

fn warmed_up_aggregator() -> LoadAggregator {
    let mut aggregator = LoadAggregator::default();
    aggregator.apply_report(0, report("x", &[], 0, &[]));
    aggregator.apply_report(NOW_MS, report("x", &[], 0, &[]));
    aggregator
}

fn report(
    instance: &str,
    requests: &[(usize, u32)],
    next_number: u64,
    pending_numbers: &[u64],
) -> LoadReport {
    let loads = requests.iter().map(|&(engine, requests)| EndpointLoad {
        id: endpoint_id(engine),
        load: Load {
            requests,
            ..Load::default()
        },
        ..EndpointLoad::default()
    });
    LoadReport {
        subscribed_endpoints: SubscribedEndpoints::All,
        instance: instance.to_owned(),
        limits: Vec::new(),
        loads: loads.collect(),
        reservations: CoveredReservations {
            pending_numbers: pending_numbers.to_vec(),
            next_number,
        },
        services: Vec::new(),
    }
}

fn endpoint_id(engine: usize) -> String {
    format!("engine-{engine:02}")
}

/// Request of an instance that knows of no load on any engine.
fn reservation_request(instance: &str, number: u64) -> ReservationRequest {
    let options = (0..ENGINES).map(|engine| ReservationOption {
        candidate: Candidate {
            copy_tokens_per_s: 18_000,
            round_trip_ms: 1,
            is_cold: false,
            is_preferred_for_prefill: false,
            load: Load::default(),
            memory_tokens: 26_976,
            slots: 24,
            slowness_percent: 100,
        },
        id: endpoint_id(engine),
    });
    ReservationRequest {
        demand: Demand {
            kv_copy_tokens: 0,
            is_migration: false,
            prefill_tokens: 3_000,
            prefill_ms_max: 1_350,
            predicted_tokens: 4_000,
        },
        instance: instance.to_owned(),
        number,
        options: options.collect(),
    }
}

#[test]
fn every_engine_gets_one_reservation_before_any_gets_a_second() {
    let mut aggregator = warmed_up_aggregator();
    let mut reservations = [0; ENGINES];
    for number in 0..ENGINES as u64 {
        let request = reservation_request(&format!("gateway-{number}"), 0);
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ReservationAnswer::Reserved(index) = aggregator.reserve(NOW_MS, &request, random)
        else {
            panic!("no free capacity");
        };
        reservations[index] += 1;
    }
    assert_eq!(reservations, [1; ENGINES]);
}

#[test]
fn a_reservation_counts_until_a_report_covers_it() {
    let mut aggregator = warmed_up_aggregator();
    let request = reservation_request("y", 7);
    let ReservationAnswer::Reserved(index) = aggregator.reserve(NOW_MS, &request, 1) else {
        panic!("no free capacity");
    };
    let requests_seen_by_others = |aggregator: &mut LoadAggregator| {
        let aggregated = aggregator.apply_report(NOW_MS, report("x", &[], 0, &[]));
        aggregated
            .loads
            .iter()
            .map(|load| load.load.requests)
            .sum::<u32>()
    };
    assert_eq!(requests_seen_by_others(&mut aggregator), 1);
    aggregator.apply_report(NOW_MS, report("y", &[], 8, &[7]));
    assert_eq!(
        requests_seen_by_others(&mut aggregator),
        1,
        "the answer has not arrived"
    );
    aggregator.apply_report(NOW_MS, report("y", &[(index, 1)], 8, &[]));
    assert_eq!(
        requests_seen_by_others(&mut aggregator),
        1,
        "the request counts once"
    );
    aggregator.apply_report(NOW_MS, report("y", &[], 8, &[]));
    assert_eq!(
        requests_seen_by_others(&mut aggregator),
        0,
        "the request has ended"
    );
}

#[test]
fn reservations_of_an_instance_that_stops_reporting_are_dropped() {
    let mut aggregator = warmed_up_aggregator();
    aggregator.reserve(NOW_MS, &reservation_request("y", 0), 1);
    let aggregated = aggregator.apply_report(NOW_MS + 2_000, report("x", &[], 0, &[]));
    assert!(aggregated.loads.is_empty());
}

#[test]
fn nothing_is_reserved_before_the_loads_are_known() {
    let mut aggregator = LoadAggregator::default();
    assert_eq!(
        aggregator.reserve(0, &reservation_request("y", 0), 1),
        ReservationAnswer::LoadsUnknown
    );
    aggregator.apply_report(0, report("x", &[], 0, &[]));
    assert_eq!(
        aggregator.reserve(100, &reservation_request("y", 1), 1),
        ReservationAnswer::LoadsUnknown
    );
    assert!(matches!(
        aggregator.reserve(400, &reservation_request("y", 2), 1),
        ReservationAnswer::Reserved(_)
    ));
}

#[test]
fn an_engine_without_free_capacity_is_not_reserved() {
    let mut aggregator = warmed_up_aggregator();
    let full: Vec<_> = (0..ENGINES).map(|engine| (engine, 24)).collect();
    aggregator.apply_report(NOW_MS, report("z", &full, 0, &[]));
    assert_eq!(
        aggregator.reserve(NOW_MS, &reservation_request("y", 0), 1),
        ReservationAnswer::Full
    );
}

/// With many instances and many endpoints, an instance receives only the loads it subscribes to.
#[test]
fn an_instance_gets_the_loads_of_its_subscribed_endpoints() {
    let mut aggregator = warmed_up_aggregator();
    aggregator.apply_report(NOW_MS, report("z", &[(1, 2), (2, 3), (3, 4)], 0, &[]));
    let mut requests_and_needs_names = |subscribed_endpoints| {
        let report = LoadReport {
            subscribed_endpoints,
            ..report("y", &[(2, 1)], 0, &[])
        };
        let aggregated = aggregator.apply_report(NOW_MS, report);
        let requests = aggregated.loads.iter().map(|load| load.load.requests);
        (
            requests.collect::<Vec<_>>(),
            aggregated.needs_endpoint_names,
        )
    };
    assert_eq!(
        requests_and_needs_names(SubscribedEndpoints::Unchanged),
        (vec![2, 4, 4], true)
    );
    let named = SubscribedEndpoints::Named(vec![endpoint_id(2), endpoint_id(9)]);
    assert_eq!(requests_and_needs_names(named), (vec![4], false));
    assert_eq!(
        requests_and_needs_names(SubscribedEndpoints::Unchanged),
        (vec![4], false)
    );
    assert_eq!(
        requests_and_needs_names(SubscribedEndpoints::All),
        (vec![2, 4, 4], false)
    );
}
