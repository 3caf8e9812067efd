//! States of single claims, limits, retention and snapshots.

mod common;

use claims::{
    ClaimAnswer, ClaimLimits, Claims, IdempotencyKey, RequestDigest, STORED_BODY_BYTES_MAX,
    STORED_HEADERS_BYTES_MAX, SettleAnswer, StoredBody, StoredHeader,
};
use common::{ClaimsHarness, attempt, claimant, key, outcome};
use quickcheck::{Gen, QuickCheck};

fn limits_with_claims_max(claims_max: usize) -> ClaimLimits {
    ClaimLimits {
        claims_max,
        ..ClaimLimits::default()
    }
}

#[test]
fn a_repeat_gets_the_stored_outcome_and_another_request_a_mismatch() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let key = key("център", "seat-7");
    assert_eq!(
        harness.claim(&key, "a", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(
        harness.claim(&key, "a", &attempt(2, 1, 1)),
        ClaimAnswer::InProgress
    );
    assert_eq!(
        harness.claim(&key, "b", &attempt(2, 1, 1)),
        ClaimAnswer::Mismatch
    );
    assert_eq!(
        harness.finish(&key, &attempt(1, 1, 1), "booked"),
        SettleAnswer::Recorded
    );
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(harness.claim(&key, "a", &attempt(2, 1, 2)), stored);
    assert_eq!(
        harness.claim(&key, "b", &attempt(2, 1, 2)),
        ClaimAnswer::Mismatch
    );
}

#[test]
fn equal_keys_of_two_customers_are_different_calls() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    assert_eq!(
        harness.claim(&key("a", "k"), "x", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(
        harness.claim(&key("b", "k"), "y", &attempt(1, 1, 2)),
        ClaimAnswer::Granted
    );
}

#[test]
fn claims_of_an_abandoned_claimant_become_unknown_and_its_later_claims_are_fenced() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let (first, second) = (key("a", "1"), key("a", "2"));
    harness.claim(&first, "x", &attempt(1, 4, 1));
    assert_eq!(harness.abandon(claimant(1, 4)), 1);
    assert_eq!(
        harness.claim(&first, "x", &attempt(2, 1, 1)),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        harness.release(&first, &attempt(1, 4, 1)),
        SettleAnswer::NotHolder
    );
    assert_eq!(
        harness.claim(&second, "x", &attempt(1, 3, 2)),
        ClaimAnswer::Fenced
    );
    assert_eq!(
        harness.claim(&second, "x", &attempt(1, 5, 1)),
        ClaimAnswer::Granted
    );
}

#[test]
fn an_abandoned_claimant_can_still_record_its_outcome() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let key = key("a", "1");
    harness.claim(&key, "x", &attempt(1, 4, 1));
    harness.abandon(claimant(1, 4));
    assert_eq!(
        harness.finish(&key, &attempt(1, 4, 2), "other"),
        SettleAnswer::NotHolder
    );
    assert_eq!(
        harness.finish(&key, &attempt(1, 4, 1), "booked"),
        SettleAnswer::Recorded
    );
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(harness.claim(&key, "x", &attempt(2, 1, 1)), stored);
}

#[test]
fn at_the_limit_new_claims_are_refused_and_settled_claims_kept_for_their_retention() {
    let limits = limits_with_claims_max(3);
    let mut harness = ClaimsHarness::new(limits);
    let keys = ["1", "2", "3", "4"].map(|name| key("a", name));
    for (key, request) in keys.iter().zip(1..).take(3) {
        harness.claim(key, "x", &attempt(1, 1, request));
        harness.finish(key, &attempt(1, 1, request), "booked");
    }
    harness.advance_time(limits.retention_ms - 1);
    let full = ClaimAnswer::Full {
        retry_after_ms: Some(1),
    };
    assert_eq!(harness.claim(&keys[3], "x", &attempt(1, 1, 4)), full);
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(harness.claim(&keys[0], "x", &attempt(1, 1, 5)), stored);
    harness.advance_time(1);
    assert_eq!(
        harness.claim(&keys[3], "x", &attempt(1, 1, 4)),
        ClaimAnswer::Granted
    );
}

#[test]
fn clock_jumps_neither_end_the_retention_nor_stop_time() {
    let retention_ms = ClaimLimits::default().retention_ms;
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let key = key("a", "1");
    harness.claim(&key, "x", &attempt(1, 1, 1));
    harness.finish(&key, &attempt(1, 1, 1), "booked");
    let before_ms = harness.at_ms;
    let stored = ClaimAnswer::Finished(outcome("booked"));
    for wrong_ms in [u64::MAX, 0, before_ms + 9 * retention_ms, before_ms] {
        harness.at_ms = wrong_ms;
        assert_eq!(
            harness.claim(&key, "x", &attempt(2, 1, 1)),
            stored,
            "at {wrong_ms}"
        );
    }
    harness.advance_time(retention_ms);
    assert!(harness.claims.is_empty());
}

#[test]
fn the_limit_of_one_customer_leaves_capacity_for_others() {
    let limits = ClaimLimits {
        customer_bytes_max: 64 * 1024,
        ..ClaimLimits::default()
    };
    let mut harness = ClaimsHarness::new(limits);
    let granted = (0..100)
        .map(|n| harness.claim(&key("flood", &n.to_string()), "x", &attempt(1, 1, n)))
        .filter(|answer| *answer == ClaimAnswer::Granted)
        .count();
    assert!((5..10).contains(&granted), "{granted}");
    assert_eq!(
        harness.claim(&key("b", "k"), "x", &attempt(1, 1, 200)),
        ClaimAnswer::Granted
    );
}

#[test]
fn bytes_for_an_outcome_are_reserved_by_the_claim_and_freed_when_it_is_settled() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let key = key("a", "k");
    harness.claim(&key, "x", &attempt(1, 1, 1));
    assert!(harness.claims.used_bytes() > STORED_BODY_BYTES_MAX);
    harness.finish(&key, &attempt(1, 1, 1), "booked");
    assert!(harness.claims.used_bytes() < 1_024);
    harness.advance_time(ClaimLimits::default().retention_ms);
    harness.abandon(claimant(9, 1));
    assert_eq!((harness.claims.used_bytes(), harness.claims.len()), (0, 0));
}

#[test]
fn a_long_body_and_unlisted_or_long_headers_are_not_stored() {
    let mut oversized = outcome(&"x".repeat(STORED_BODY_BYTES_MAX + 1));
    let header = |name: &str, length: usize| StoredHeader {
        name: name.to_owned(),
        value: vec![b'v'; length],
    };
    oversized.headers = vec![
        header("set-cookie", 10),
        header("content-type", 10),
        header("location", STORED_HEADERS_BYTES_MAX),
    ];
    let trimmed = oversized.trim_to_limits();
    let length_bytes = STORED_BODY_BYTES_MAX as u64 + 1;
    assert_eq!(trimmed.body, StoredBody::TooLong { length_bytes });
    assert_eq!(trimmed.headers, [header("content-type", 10)]);
}

#[test]
fn request_digests_keep_the_parts_of_a_request_apart() {
    let digest = RequestDigest::of("POST", "/a", b"b");
    assert_ne!(digest, RequestDigest::of("POST", "/ab", b""));
    assert_eq!(digest, RequestDigest::of("POST", "/a", b"b"));
}

#[test]
fn invalid_idempotency_keys_are_refused() {
    for key in ["", "a b", "a\r\nb", "ключ", &"k".repeat(256)] {
        assert!(IdempotencyKey::new(key).is_err(), "{key:?}");
    }
}

#[test]
fn mutated_snapshots_restore_or_fail_without_a_panic() {
    fn property(mutations: Vec<(usize, u8)>, length: usize) -> bool {
        let mut harness = ClaimsHarness::new(ClaimLimits::default());
        harness.claim(&key("a", "1"), "x", &attempt(1, 1, 1));
        harness.claim(&key("a", "2"), "x", &attempt(1, 1, 2));
        harness.finish(&key("a", "2"), &attempt(1, 1, 2), "booked");
        let mut bytes = harness.claims.snapshot();
        for (position, value) in mutations {
            let position = position % bytes.len();
            bytes[position] = value;
        }
        bytes.truncate(1 + length % bytes.len());
        let _ = Claims::restore(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 17))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(usize, u8)>, usize) -> bool);
}

#[test]
fn empty_truncated_and_unknown_snapshots_are_refused() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    harness.claim(&key("a", "k"), "x", &attempt(1, 1, 1));
    let snapshot = harness.claims.snapshot();
    assert!(Claims::restore(&[]).is_err());
    assert!(Claims::restore(&snapshot[..snapshot.len() - 1]).is_err());
    let mut other_format = snapshot;
    other_format[0] = 9;
    assert!(Claims::restore(&other_format).is_err());
}

#[test]
fn a_call_with_a_lost_outcome_is_unknown_and_never_granted_again() {
    let mut harness = ClaimsHarness::new(ClaimLimits::default());
    let key = key("център", "seat-8");
    assert_eq!(
        harness.claim(&key, "a", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(harness.claims.claimants(), [claimant(1, 1)]);
    assert_eq!(
        harness.mark_unknown(&key, &attempt(2, 1, 1)),
        SettleAnswer::NotHolder,
        "only the holder may mark a claim as unknown"
    );
    assert_eq!(
        harness.mark_unknown(&key, &attempt(1, 1, 1)),
        SettleAnswer::Recorded
    );
    assert_eq!(
        harness.claim(&key, "a", &attempt(1, 1, 2)),
        ClaimAnswer::Unknown
    );
    assert!(harness.claims.claimants().is_empty());
}
