//! Shares of engine time between rows, and within a row.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod support;

use std::collections::BTreeMap;

use dispatch::{Action, PermitEnd};
use quickcheck::{Gen, QuickCheck};

use support::{Host, demand, limits, profile};

fn host_with_backlog(weights: &[f64], sequences_max: u32) -> Host {
    let mut host = Host::new(3);
    host.announce(0, &profile(1_000_000, sequences_max));
    for (customer, &weight) in (0..).zip(weights) {
        let mut row = limits(customer, 0);
        row.weight = weight;
        row.queueing_ms_max = u64::MAX / 1_000_000;
        host.set_limits(row);
    }
    for _ in 0..100 {
        for customer in 0..u32::try_from(weights.len()).unwrap() {
            host.request(&demand(customer, 100, 4_000));
        }
    }
    host
}

fn complete_first(host: &mut Host, tokens: u32) {
    let permit = *host.running.keys().next().expect("a request runs");
    host.advance_us(1_000);
    host.progress(permit, tokens);
    host.end_permit(permit, PermitEnd::Completed);
}

fn add_usage(host: &mut Host, total_us: &mut BTreeMap<u32, u64>) {
    for used in host.dispatcher.take_unreported_usage() {
        *total_us.entry(used.customer.0).or_default() += used.engine_us;
    }
}

#[test]
fn backlogged_rows_share_engine_time_by_weight() {
    fn shares_follow_weights(weights: Vec<u8>, tokens: Vec<u16>) -> bool {
        let weights: Vec<f64> = weights
            .iter()
            .take(3)
            .map(|weight| f64::from(weight % 4 + 1))
            .collect();
        if weights.len() < 2 || tokens.is_empty() {
            return true;
        }
        let mut host = host_with_backlog(&weights, 1);
        let mut total_us = BTreeMap::new();
        for turn in 0..60 {
            complete_first(
                &mut host,
                u32::from(tokens[turn % tokens.len()] % 3_000) + 1,
            );
            add_usage(&mut host, &mut total_us);
        }
        let weighted_ms = |(&customer, &used_us): (&u32, &u64)| {
            let used_ms = f64::from(u32::try_from(used_us / 1_000).unwrap());
            used_ms / weights[customer as usize]
        };
        let shares_ms: Vec<f64> = total_us.iter().map(weighted_ms).collect();
        let most_ms = shares_ms.iter().copied().fold(0.0, f64::max);
        let least_ms = shares_ms.iter().copied().fold(f64::MAX, f64::min);
        // Engine time of two of the largest requests, 3,002 ms each, at a weight of 1.
        shares_ms.len() == weights.len() && most_ms - least_ms <= 2.0 * 3_002.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 5))
        .tests(40)
        .quickcheck(shares_follow_weights as fn(Vec<u8>, Vec<u16>) -> bool);
}

#[test]
fn one_customers_backlog_does_not_delay_another_customer() {
    let mut host = host_with_backlog(&[1.0], 4);
    host.set_limits(limits(1, 0));
    let request = host.request(&demand(1, 100, 4_000));
    complete_first(&mut host, 500);
    let is_granted =
        |action: &Action| matches!(action, Action::Grant { request: r, .. } if *r == request);
    assert!(host.actions.last().is_some_and(is_granted));
}

#[test]
fn usage_on_other_shards_counts_against_the_share() {
    let mut host = host_with_backlog(&[1.0, 1.0], 1);
    host.dispatcher.add_remote_usage(&[dispatch::RowUsage {
        customer: dispatch::CustomerIndex(0),
        engine_us: 30_000_000,
        kind: dispatch::KindIndex(0),
    }]);
    let mut total_us = BTreeMap::new();
    for _ in 0..20 {
        complete_first(&mut host, 500);
    }
    add_usage(&mut host, &mut total_us);
    assert!(
        total_us[&1] > 8 * total_us.get(&0).copied().unwrap_or(0),
        "{total_us:?}"
    );
}

#[test]
fn urgent_requests_use_their_fraction_of_the_rows_share_first() {
    let mut host = Host::new(1);
    host.announce(0, &profile(1_000_000, 1));
    let mut row = limits(0, 0);
    row.urgent_share = 0.25;
    row.queueing_ms_max = u64::MAX / 1_000_000;
    host.set_limits(row);
    for turn in 0..80 {
        let mut request_demand = demand(0, 100, 500);
        request_demand.urgent = turn >= 40;
        host.request(&request_demand);
    }
    let mut urgent = 0;
    for _ in 0..40 {
        complete_first(&mut host, 500);
        urgent += host
            .running
            .values()
            .filter(|running| running.demand.urgent)
            .count();
    }
    assert!((9..=12).contains(&urgent), "{urgent}");
}

#[test]
fn a_large_request_is_bypassed_for_a_limited_time() {
    let mut host = Host::new(1);
    host.announce(0, &profile(4_000, 16));
    host.set_limits(limits(0, 0));
    host.set_limits(limits(1, 0));
    for _ in 0..30 {
        host.request(&demand(0, 400, 300));
    }
    host.request(&demand(1, 3_500, 300));
    let mut completed = 0;
    while host.running_of(1) == 0 {
        host.advance_us(200_000);
        host.request(&demand(0, 400, 300));
        let permit = *host.running.keys().next().expect("a request runs");
        host.progress(permit, 100);
        host.end_permit(permit, PermitEnd::Completed);
        completed += 1;
        assert!(completed < 30, "the large request is not granted");
    }
}
