//! Pattern: engines leave 1.5 s and more after their notice while long answers run on them.

use gateway::{ends_soon, is_copied_again};

#[test]
fn a_run_that_ends_at_once_stays() {
    assert!(ends_soon(20));
}

#[test]
fn a_run_that_would_be_cut_off_moves() {
    assert!(!ends_soon(160));
}

#[test]
fn a_run_that_has_waited_for_its_copy_is_copied_once_more_while_there_is_time() {
    assert!(!is_copied_again(160), "one step reads what it lacks");
    assert!(is_copied_again(700));
    assert!(!is_copied_again(1_300), "the engine may be gone");
}
