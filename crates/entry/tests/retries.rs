//! Budgets, jitter, ejection and the distributions behind the detection of stalls.

use entry::core::{
    Backoff, EndpointEjector, IntervalHistogram, RetryBudget, RetryBudgets, StallTimeouts,
    TrafficShare,
};
use names::{CustomerName, EndpointName};
use quickcheck::{Gen, QuickCheck};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const SECOND_US: u64 = 1_000_000;

fn endpoints(count: usize) -> Vec<EndpointName> {
    (0..count)
        .map(|index| EndpointName::new(&format!("e{index:02}")).unwrap())
        .collect()
}

#[test]
fn retries_add_at_most_three_tenths_to_the_load_while_everything_fails() {
    let mut budgets = RetryBudgets::default();
    let customer = CustomerName::new("centre").unwrap();
    let endpoint = &endpoints(1)[0];
    let mut retries = 0;
    for _ in 0..10_000 {
        budgets.deposit(&customer, endpoint);
        while budgets.withdraw_customer(&customer) {
            retries += 1;
        }
    }
    assert_eq!(retries, 3_000 + 5);
}

#[test]
fn sound_endpoints_take_over_at_most_six_tenths_of_their_own_load() {
    let mut budgets = RetryBudgets::default();
    let customer = CustomerName::new("centre").unwrap();
    let endpoint = &endpoints(1)[0];
    let mut retries = 0;
    for _ in 0..10_000 {
        budgets.deposit(&customer, endpoint);
        while budgets.withdraw_endpoint(endpoint) {
            retries += 1;
        }
    }
    assert_eq!(retries, 6_000 + 5);
}

#[test]
fn one_customer_cannot_spend_the_retries_of_another() {
    let mut budgets = RetryBudgets::default();
    let [flood, quiet] = ["flood", "quiet"].map(|name| CustomerName::new(name).unwrap());
    let endpoints = endpoints(2);
    for _ in 0..100 {
        budgets.deposit(&quiet, &endpoints[1]);
    }
    while budgets.withdraw_customer(&flood) {}
    assert!(budgets.withdraw_customer(&quiet));
}

#[test]
fn a_budget_holds_a_bounded_number_of_retries() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.deposit(4);
    }
    let mut retries = 0;
    while budget.withdraw() {
        retries += 1;
    }
    assert_eq!(retries, 20);
}

#[test]
fn delays_are_spread_evenly_under_a_doubling_bound() {
    fn prop(seed: u64) -> bool {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut backoff = Backoff::new(1_000, 50_000, random);
        (0..20).all(|attempt| backoff.delay_us() <= (1_000 << attempt).min(50_000))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, 1))
        .tests(500)
        .quickcheck(prop as fn(u64) -> bool);
    let delays = (0..4_000)
        .map(|seed| Backoff::new(1_000, 1_000, Xoshiro256PlusPlus::seed_from_u64(seed)).delay_us());
    let mean = delays.sum::<u64>() / 4_000;
    assert!((470..530).contains(&mean), "{mean}");
}

#[test]
fn an_endpoint_that_fails_in_a_row_is_ejected_and_comes_back_slowly() {
    let alike = endpoints(8);
    let mut ejector = EndpointEjector::default();
    for failure in 1..=5 {
        assert_eq!(ejector.traffic_share(0, &alike[0]), TrafficShare::Full);
        assert_eq!(ejector.record_failure(0, &alike[0], &alike), failure == 5);
    }
    let until_us = 5 * SECOND_US;
    assert_eq!(
        ejector.traffic_share(1, &alike[0]),
        TrafficShare::Ejected { until_us }
    );
    let shares = [0, 2, 5, 9].map(|s| ejector.traffic_share(until_us + s * SECOND_US, &alike[0]));
    assert_eq!(
        shares,
        [100, 200, 500, 900].map(|share_per_mille| TrafficShare::SlowStart { share_per_mille })
    );
    assert_eq!(
        ejector.traffic_share(until_us + 10 * SECOND_US, &alike[0]),
        TrafficShare::Full
    );
}

#[test]
fn a_success_between_failures_keeps_an_endpoint() {
    let alike = endpoints(8);
    let mut ejector = EndpointEjector::default();
    for _ in 0..20 {
        for _ in 0..4 {
            assert!(!ejector.record_failure(0, &alike[0], &alike));
        }
        ejector.record_success(0, &alike[0]);
    }
}

#[test]
fn at_most_a_quarter_of_like_endpoints_is_ejected_at_any_time() {
    fn prop(seed: u64, count: u8) -> bool {
        let alike = endpoints(usize::from(count % 30));
        let bound = match alike.len() {
            0 | 1 => 0,
            2 | 3 => 1,
            count => count / 4,
        };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut ejector = EndpointEjector::default();
        let mut now_us = 0;
        (0..2_000).all(|_| {
            now_us += random.next_u64() % SECOND_US;
            let endpoint =
                alike.get(usize::try_from(random.next_u64() >> 32).unwrap() % alike.len().max(1));
            if let Some(endpoint) = endpoint {
                ejector.record_failure(now_us, endpoint, &alike);
            }
            let ejected = alike
                .iter()
                .filter(|one| {
                    matches!(
                        ejector.traffic_share(now_us, one),
                        TrafficShare::Ejected { .. }
                    )
                })
                .count();
            ejected <= bound
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .tests(60)
        .quickcheck(prop as fn(u64, u8) -> bool);
}

#[test]
fn a_quantile_is_at_most_an_eighth_above_the_true_one() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values")]
    fn prop(times_us: Vec<u32>) -> bool {
        let mut model = IntervalHistogram::default();
        let mut sorted: Vec<u64> = times_us.iter().map(|&time| u64::from(time) + 8).collect();
        for &time_us in &sorted {
            model.record(time_us);
        }
        sorted.sort_unstable();
        [500, 900, 999].iter().all(|&per_mille| {
            let rank = (sorted.len() * per_mille as usize).div_ceil(1_000).max(1);
            let Some(&exact) = sorted.get(rank - 1) else {
                return model.quantile_us(per_mille).is_none();
            };
            let found = model.quantile_us(per_mille).unwrap();
            (exact..=exact + exact / 8 + 1).contains(&found)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 4))
        .tests(2_000)
        .quickcheck(prop as fn(Vec<u32>) -> bool);
}

#[test]
fn old_times_are_forgotten() {
    let mut model = IntervalHistogram::default();
    (0..10_000).for_each(|_| model.record(40_000));
    (0..200_000).for_each(|_| model.record(2_000));
    assert!(model.quantile_us(999).unwrap() < 2_300);
}

#[test]
fn patience_follows_the_endpoint_and_never_falls_below_the_interval_of_statuses() {
    let [mut quick, mut slow] = [IntervalHistogram::default(), IntervalHistogram::default()];
    (0..1_000).for_each(|_| quick.record(20_000));
    (0..1_000).for_each(|_| slow.record(900_000));
    let quick = StallTimeouts::from_intervals(&quick, &quick);
    let slow = StallTimeouts::from_intervals(&slow, &slow);
    assert_eq!(quick.silence_us, 2 * SECOND_US);
    assert!(slow.silence_us > 7 * SECOND_US);
    assert!(slow.progress_us > quick.progress_us);
    let unknown = IntervalHistogram::default();
    assert_eq!(
        StallTimeouts::from_intervals(&unknown, &unknown),
        StallTimeouts::default()
    );
}
