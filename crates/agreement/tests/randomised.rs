//! Randomised simulations with faults; the example `soak` runs them for longer.

#[path = "../examples/soak/simulation/mod.rs"]
mod simulation;

use quickcheck::{Gen, QuickCheck};
use simulation::Summary;
use simulation::schedule::run_schedule;

fn run_seeds(seeds: std::ops::Range<u64>, voters: usize) -> Summary {
    seeds
        .map(|seed| run_schedule(seed, voters, 12_000))
        .reduce(Summary::combine)
        .unwrap()
}

#[test]
fn nothing_committed_is_lost_with_three_voters() {
    let summary = run_seeds(0..12, 3);
    assert!(summary.committed > 1_000, "{summary:?}");
    assert!(summary.leaders > 100, "{summary:?}");
    assert!(summary.reads_confirmed > 100, "{summary:?}");
    assert!(summary.wiped > 10, "{summary:?}");
}

#[test]
fn nothing_committed_is_lost_with_five_voters() {
    let summary = run_seeds(100..106, 5);
    assert!(summary.committed > 500, "{summary:?}");
    assert!(summary.wiped > 5, "{summary:?}");
}

#[test]
fn groups_of_one_to_seven_voters_keep_the_safety_properties() {
    fn commits_something(seed: u64, size: u8) -> bool {
        run_schedule(seed, 1 + usize::from(size % 7), 2_000).committed > 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, 31))
        .tests(20)
        .quickcheck(commits_something as fn(u64, u8) -> bool);
}
