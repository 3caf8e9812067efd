//! Pattern: many instances before many endpoints.

use gateway::{subset_key, subset_key_max};

const SEED: u64 = 0x7f4a_7c15_9e37_79b9;

fn ranks(count: u64) -> Vec<u64> {
    let spread = |number: u64| {
        let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    };
    (1..=count).map(spread).collect()
}

fn followed(ranks: &[u64], seed: u64) -> Vec<u64> {
    let last = subset_key_max(ranks, seed).unwrap_or(u64::MAX);
    let is_followed = |rank: &&u64| subset_key(**rank, seed) <= last;
    ranks.iter().filter(is_followed).copied().collect()
}

#[test]
fn a_small_service_is_followed_whole() {
    assert_eq!(followed(&ranks(57), SEED).len(), 57);
}

#[test]
fn a_large_service_is_followed_in_part() {
    assert_eq!(followed(&ranks(12_000), SEED).len(), 64);
}

#[test]
fn an_endpoint_that_goes_changes_the_part_by_one() {
    let all = ranks(3_000);
    let before = followed(&all, SEED);
    let without: Vec<u64> = all
        .iter()
        .copied()
        .filter(|rank| *rank != before[7])
        .collect();
    let after = followed(&without, SEED);
    let kept = before.iter().filter(|rank| after.contains(rank)).count();
    assert_eq!((kept, after.len()), (63, 64));
}

#[test]
fn all_endpoints_are_followed_by_some_instance() {
    let all = ranks(1_000);
    let mut seen: Vec<u64> = ranks(300)
        .iter()
        .flat_map(|seed| followed(&all, *seed))
        .collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), all.len());
}
