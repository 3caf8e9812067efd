//! Generations are migrated off engines, which leave 1.5 s or later after their notice.

use gateway::{is_nearly_complete, needs_second_copy};

#[test]
fn a_generation_with_20_tokens_left_is_not_migrated() {
    assert!(is_nearly_complete(20));
}

#[test]
fn a_generation_with_160_tokens_left_is_migrated() {
    assert!(!is_nearly_complete(160));
}

#[test]
fn a_second_copy_follows_a_slow_first_one_only_while_there_is_time() {
    assert!(
        !needs_second_copy(160),
        "one step prefills the missing tokens"
    );
    assert!(needs_second_copy(700));
    assert!(!needs_second_copy(1_300), "the engine may have left");
}
