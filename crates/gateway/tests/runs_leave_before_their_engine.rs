//! Pattern: engines leave 1.5 s and more after their notice while long answers run on them.

use gateway::{is_nearly_complete, needs_second_copy};

#[test]
fn a_run_that_ends_at_once_stays() {
    assert!(is_nearly_complete(20));
}

#[test]
fn a_run_that_would_be_cut_off_moves() {
    assert!(!is_nearly_complete(160));
}

#[test]
fn a_run_that_has_waited_for_its_copy_is_copied_once_more_while_there_is_time() {
    assert!(!needs_second_copy(160), "one step reads what it lacks");
    assert!(needs_second_copy(700));
    assert!(!needs_second_copy(1_300), "the engine may be gone");
}
