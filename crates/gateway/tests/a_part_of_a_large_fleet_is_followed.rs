//! Each instance of a large deployment subscribes to a subset of a large service's endpoints.

use gateway::{subset_key, subset_key_max};

const SEED: u64 = 0x7f4a_7c15_9e37_79b9;

fn ranks(count: u64) -> Vec<u64> {
    let spread = |number: u64| {
        let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    };
    (1..=count).map(spread).collect()
}

fn subset(ranks: &[u64], seed: u64) -> Vec<u64> {
    let key_max = subset_key_max(ranks, seed).unwrap_or(u64::MAX);
    let is_in_subset = |rank: &&u64| subset_key(**rank, seed) <= key_max;
    ranks.iter().filter(is_in_subset).copied().collect()
}

#[test]
fn subset_of_a_small_service_is_all_endpoints() {
    assert_eq!(subset(&ranks(57), SEED).len(), 57);
}

#[test]
fn subset_of_a_large_service_has_64_endpoints() {
    assert_eq!(subset(&ranks(12_000), SEED).len(), 64);
}

#[test]
fn removing_an_endpoint_replaces_one_of_the_subset() {
    let all = ranks(3_000);
    let before = subset(&all, SEED);
    let without: Vec<u64> = all
        .iter()
        .copied()
        .filter(|rank| *rank != before[7])
        .collect();
    let after = subset(&without, SEED);
    let kept = before.iter().filter(|rank| after.contains(rank)).count();
    assert_eq!((kept, after.len()), (63, 64));
}

#[test]
fn every_endpoint_is_in_the_subset_of_some_instance() {
    let all = ranks(1_000);
    let mut covered: Vec<u64> = ranks(300)
        .iter()
        .flat_map(|seed| subset(&all, *seed))
        .collect();
    covered.sort_unstable();
    covered.dedup();
    assert_eq!(covered.len(), all.len());
}
