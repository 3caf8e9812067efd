//! Pattern: engines leave 1.5 s and more after their notice while long answers run on them.

use gateway::ends_soon;

#[test]
fn a_run_that_ends_at_once_stays() {
    assert!(ends_soon(20));
}

#[test]
fn a_run_that_would_be_cut_off_moves() {
    assert!(!ends_soon(160));
}
