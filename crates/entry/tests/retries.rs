//! Retry budgets, backoff, ejection of endpoints, and the interval histograms of stall detection.

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
fn customer_budgets_limit_retries_to_three_tenths_of_the_first_attempts() {
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
fn endpoint_budgets_limit_retries_to_six_tenths_of_the_first_attempts() {
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
fn a_retry_budget_holds_at_most_twenty_retries() {
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
fn backoff_delays_are_uniform_below_a_doubling_bound() {
    fn delays_stay_below_bound(seed: u64) -> bool {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut backoff = Backoff::new(1_000, 50_000, random);
        (0..20).all(|attempt| backoff.delay_us() <= (1_000 << attempt).min(50_000))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, 1))
        .tests(500)
        .quickcheck(delays_stay_below_bound as fn(u64) -> bool);
    let delays = (0..4_000)
        .map(|seed| Backoff::new(1_000, 1_000, Xoshiro256PlusPlus::seed_from_u64(seed)).delay_us());
    let mean = delays.sum::<u64>() / 4_000;
    assert!((470..530).contains(&mean), "{mean}");
}

#[test]
fn consecutive_failures_eject_an_endpoint_and_its_traffic_share_then_grows_slowly() {
    let peers = endpoints(8);
    let mut ejector = EndpointEjector::default();
    for failure in 1..=5 {
        assert_eq!(ejector.traffic_share(0, &peers[0]), TrafficShare::Full);
        assert_eq!(ejector.record_failure(0, &peers[0], &peers), failure == 5);
    }
    let until_us = 5 * SECOND_US;
    assert_eq!(
        ejector.traffic_share(1, &peers[0]),
        TrafficShare::Ejected { until_us }
    );
    let shares = [0, 2, 5, 9].map(|s| ejector.traffic_share(until_us + s * SECOND_US, &peers[0]));
    assert_eq!(
        shares,
        [100, 200, 500, 900].map(|share_per_mille| TrafficShare::SlowStart { share_per_mille })
    );
    assert_eq!(
        ejector.traffic_share(until_us + 10 * SECOND_US, &peers[0]),
        TrafficShare::Full
    );
}

#[test]
fn a_success_resets_the_consecutive_failures_of_an_endpoint() {
    let peers = endpoints(8);
    let mut ejector = EndpointEjector::default();
    for _ in 0..20 {
        for _ in 0..4 {
            assert!(!ejector.record_failure(0, &peers[0], &peers));
        }
        ejector.record_success(0, &peers[0]);
    }
}

#[test]
fn at_most_a_quarter_of_the_peers_is_ejected_at_any_time() {
    fn ejections_stay_below_bound(seed: u64, count: u8) -> bool {
        let peers = endpoints(usize::from(count % 30));
        let bound = match peers.len() {
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
                peers.get(usize::try_from(random.next_u64() >> 32).unwrap() % peers.len().max(1));
            if let Some(endpoint) = endpoint {
                ejector.record_failure(now_us, endpoint, &peers);
            }
            let ejected = peers
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
        .quickcheck(ejections_stay_below_bound as fn(u64, u8) -> bool);
}

#[test]
fn a_histogram_quantile_is_at_most_an_eighth_above_the_exact_one() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn quantiles_stay_close(intervals_us: Vec<u32>) -> bool {
        let mut histogram = IntervalHistogram::default();
        let mut sorted: Vec<u64> = intervals_us
            .iter()
            .map(|&interval| u64::from(interval) + 8)
            .collect();
        for &interval_us in &sorted {
            histogram.record(interval_us);
        }
        sorted.sort_unstable();
        [500, 900, 999].iter().all(|&per_mille| {
            let rank = (sorted.len() * per_mille as usize).div_ceil(1_000).max(1);
            let Some(&exact) = sorted.get(rank - 1) else {
                return histogram.quantile_us(per_mille).is_none();
            };
            let quantile = histogram.quantile_us(per_mille).unwrap();
            (exact..=exact + exact / 8 + 1).contains(&quantile)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 4))
        .tests(2_000)
        .quickcheck(quantiles_stay_close as fn(Vec<u32>) -> bool);
}

#[test]
fn old_intervals_lose_their_weight() {
    let mut histogram = IntervalHistogram::default();
    (0..10_000).for_each(|_| histogram.record(40_000));
    (0..200_000).for_each(|_| histogram.record(2_000));
    assert!(histogram.quantile_us(999).unwrap() < 2_300);
}

#[test]
fn stall_timeouts_follow_recorded_intervals_and_stay_above_the_status_interval() {
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
