//! Randomised runs by seed with faults of every kind; a longer one is the example `soak`.

#[path = "../examples/soak/simulation/mod.rs"]
mod simulation;

use quickcheck::{Gen, QuickCheck};
use simulation::Summary;
use simulation::schedule::run;

fn run_all(seeds: std::ops::Range<u64>, voters: usize) -> Summary {
    seeds
        .map(|seed| run(seed, voters, 12_000))
        .reduce(Summary::plus)
        .unwrap()
}

#[test]
fn nothing_committed_is_lost_with_three_voters() {
    let summary = run_all(0..12, 3);
    assert!(summary.committed > 1_000, "{summary:?}");
    assert!(summary.leaders > 100, "{summary:?}");
    assert!(summary.reads_confirmed > 100, "{summary:?}");
    assert!(summary.wiped > 10, "{summary:?}");
}

#[test]
fn nothing_committed_is_lost_with_five_voters() {
    let summary = run_all(100..106, 5);
    assert!(summary.committed > 500, "{summary:?}");
    assert!(summary.wiped > 5, "{summary:?}");
}

#[test]
fn groups_of_any_size_keep_their_promises() {
    fn holds(seed: u64, size: u8) -> bool {
        run(seed, 1 + usize::from(size % 7), 2_000).committed > 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, 31))
        .tests(20)
        .quickcheck(holds as fn(u64, u8) -> bool);
}
