//! Pattern: many instances that choose by the same old sums crowd the same engine.

use placement::{Candidate, Demand, Load};
use registry::{
    CoveredReservations, EndpointLoad, LoadAggregator, LoadReport, ReservationAnswer,
    ReservationOption, ReservationRequest, SubscribedEndpoints,
};

const ENGINES: usize = 72;
/// Long after the first report.
const NOW_MS: u64 = 1_000;

fn board() -> LoadAggregator {
    let mut board = LoadAggregator::default();
    board.exchange(0, report("x", &[], 0, &[]));
    board.exchange(NOW_MS, report("x", &[], 0, &[]));
    board
}

fn report(instance: &str, runs: &[(usize, u32)], next: u64, pending_numbers: &[u64]) -> LoadReport {
    let loads = runs.iter().map(|&(engine, runs)| EndpointLoad {
        id: id(engine),
        load: Load {
            requests: runs,
            ..Load::default()
        },
        ..EndpointLoad::default()
    });
    LoadReport {
        subscribed_endpoints: SubscribedEndpoints::All,
        instance: instance.to_owned(),
        loads: loads.collect(),
        reservations: CoveredReservations {
            pending_numbers: pending_numbers.to_vec(),
            next_number: next,
        },
        services: Vec::new(),
    }
}

fn id(engine: usize) -> String {
    format!("engine-{engine:02}")
}

/// A draft of an instance that believes all engines idle.
fn draft(instance: &str, number: u64) -> ReservationRequest {
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
        id: id(engine),
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
fn no_engine_gets_a_second_request_before_each_has_one() {
    let mut board = board();
    let mut taken = [0; ENGINES];
    for number in 0..ENGINES as u64 {
        let request = draft(&format!("gateway-{number}"), 0);
        let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ReservationAnswer::Reserved(at) = board.reserve(NOW_MS, &request, draw) else {
            panic!("there is room");
        };
        taken[at] += 1;
    }
    assert_eq!(taken, [1; ENGINES]);
}

#[test]
fn a_reservation_counts_until_a_report_covers_it() {
    let mut board = board();
    let request = draft("y", 7);
    let ReservationAnswer::Reserved(at) = board.reserve(NOW_MS, &request, 1) else {
        panic!("there is room");
    };
    let seen_by_others = |board: &mut LoadAggregator| {
        let totals = board.exchange(NOW_MS, report("x", &[], 0, &[]));
        totals
            .loads
            .iter()
            .map(|load| load.load.requests)
            .sum::<u32>()
    };
    assert_eq!(seen_by_others(&mut board), 1);
    board.exchange(NOW_MS, report("y", &[], 8, &[7]));
    assert_eq!(seen_by_others(&mut board), 1, "its answer is awaited");
    board.exchange(NOW_MS, report("y", &[(at, 1)], 8, &[]));
    assert_eq!(seen_by_others(&mut board), 1, "it counts once");
    board.exchange(NOW_MS, report("y", &[], 8, &[]));
    assert_eq!(seen_by_others(&mut board), 0, "it has ended");
}

#[test]
fn a_reservation_of_an_instance_that_falls_silent_is_dropped() {
    let mut board = board();
    board.reserve(NOW_MS, &draft("y", 0), 1);
    let totals = board.exchange(NOW_MS + 2_000, report("x", &[], 0, &[]));
    assert!(totals.loads.is_empty());
}

#[test]
fn nothing_is_reserved_before_the_loads_are_known() {
    let mut board = LoadAggregator::default();
    assert_eq!(
        board.reserve(0, &draft("y", 0), 1),
        ReservationAnswer::LoadsUnknown
    );
    board.exchange(0, report("x", &[], 0, &[]));
    assert_eq!(
        board.reserve(100, &draft("y", 1), 1),
        ReservationAnswer::LoadsUnknown
    );
    assert!(matches!(
        board.reserve(400, &draft("y", 2), 1),
        ReservationAnswer::Reserved(_)
    ));
}

#[test]
fn an_engine_without_room_is_not_reserved() {
    let mut board = board();
    let full: Vec<_> = (0..ENGINES).map(|engine| (engine, 24)).collect();
    board.exchange(NOW_MS, report("z", &full, 0, &[]));
    assert_eq!(
        board.reserve(NOW_MS, &draft("y", 0), 1),
        ReservationAnswer::Full
    );
}

/// Pattern: many instances before many endpoints.
#[test]
fn an_instance_gets_the_sums_that_it_follows() {
    let mut board = board();
    board.exchange(NOW_MS, report("z", &[(1, 2), (2, 3), (3, 4)], 0, &[]));
    let mut asked = |subscribed_endpoints| {
        let report = LoadReport {
            subscribed_endpoints,
            ..report("y", &[(2, 1)], 0, &[])
        };
        let totals = board.exchange(NOW_MS, report);
        let runs = totals.loads.iter().map(|load| load.load.requests);
        (runs.collect::<Vec<_>>(), totals.needs_endpoint_names)
    };
    assert_eq!(asked(SubscribedEndpoints::Unchanged), (vec![2, 4, 4], true));
    let named = SubscribedEndpoints::Named(vec![id(2), id(9)]);
    assert_eq!(asked(named), (vec![4], false));
    assert_eq!(asked(SubscribedEndpoints::Unchanged), (vec![4], false));
    assert_eq!(asked(SubscribedEndpoints::All), (vec![2, 4, 4], false));
}
