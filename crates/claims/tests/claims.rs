//! Lives of single claims, their bounds and their snapshots.

mod common;

use claims::{
    ClaimAnswer, ClaimLimits, Claims, IdempotencyKey, RequestDigest, STORED_BODY_BYTES_MAX,
    STORED_HEADERS_BYTES_MAX, SettleAnswer, StoredBody, StoredHeader,
};
use common::{Bench, attempt, claimant, key, outcome};
use quickcheck::{Gen, QuickCheck};

fn small(claims_max: usize) -> ClaimLimits {
    ClaimLimits {
        claims_max,
        ..ClaimLimits::default()
    }
}

#[test]
fn a_repeat_gets_the_stored_outcome_and_another_request_a_mismatch() {
    let mut bench = Bench::new(ClaimLimits::default());
    let key = key("център", "seat-7");
    assert_eq!(
        bench.claim(&key, "a", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(
        bench.claim(&key, "a", &attempt(2, 1, 1)),
        ClaimAnswer::InProgress
    );
    assert_eq!(
        bench.claim(&key, "b", &attempt(2, 1, 1)),
        ClaimAnswer::Mismatch
    );
    assert_eq!(
        bench.finish(&key, &attempt(1, 1, 1), "booked"),
        SettleAnswer::Recorded
    );
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(bench.claim(&key, "a", &attempt(2, 1, 2)), stored);
    assert_eq!(
        bench.claim(&key, "b", &attempt(2, 1, 2)),
        ClaimAnswer::Mismatch
    );
}

#[test]
fn the_same_key_of_another_customer_is_another_call() {
    let mut bench = Bench::new(ClaimLimits::default());
    assert_eq!(
        bench.claim(&key("a", "k"), "x", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(
        bench.claim(&key("b", "k"), "y", &attempt(1, 1, 2)),
        ClaimAnswer::Granted
    );
}

#[test]
fn a_dead_claimants_calls_are_unknown_and_its_late_claims_fenced() {
    let mut bench = Bench::new(ClaimLimits::default());
    let (first, second) = (key("a", "1"), key("a", "2"));
    bench.claim(&first, "x", &attempt(1, 4, 1));
    assert_eq!(bench.abandon(claimant(1, 4)), 1);
    assert_eq!(
        bench.claim(&first, "x", &attempt(2, 1, 1)),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        bench.release(&first, &attempt(1, 4, 1)),
        SettleAnswer::NotHolder
    );
    assert_eq!(
        bench.claim(&second, "x", &attempt(1, 3, 2)),
        ClaimAnswer::Fenced
    );
    assert_eq!(
        bench.claim(&second, "x", &attempt(1, 5, 1)),
        ClaimAnswer::Granted
    );
}

#[test]
fn a_claimant_that_lives_after_all_can_still_record_its_outcome() {
    let mut bench = Bench::new(ClaimLimits::default());
    let key = key("a", "1");
    bench.claim(&key, "x", &attempt(1, 4, 1));
    bench.abandon(claimant(1, 4));
    assert_eq!(
        bench.finish(&key, &attempt(1, 4, 2), "other"),
        SettleAnswer::NotHolder
    );
    assert_eq!(
        bench.finish(&key, &attempt(1, 4, 1), "booked"),
        SettleAnswer::Recorded
    );
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(bench.claim(&key, "x", &attempt(2, 1, 1)), stored);
}

#[test]
fn at_the_bound_new_claims_are_refused_and_old_ones_kept_for_their_retention() {
    let bounds = small(3);
    let mut bench = Bench::new(bounds);
    let keys = ["1", "2", "3", "4"].map(|name| key("a", name));
    for (key, request) in keys.iter().zip(1..).take(3) {
        bench.claim(key, "x", &attempt(1, 1, request));
        bench.finish(key, &attempt(1, 1, request), "booked");
    }
    bench.wait(bounds.retention_ms - 1);
    let full = ClaimAnswer::Full {
        retry_after_ms: Some(1),
    };
    assert_eq!(bench.claim(&keys[3], "x", &attempt(1, 1, 4)), full);
    let stored = ClaimAnswer::Finished(outcome("booked"));
    assert_eq!(bench.claim(&keys[0], "x", &attempt(1, 1, 5)), stored);
    bench.wait(1);
    assert_eq!(
        bench.claim(&keys[3], "x", &attempt(1, 1, 4)),
        ClaimAnswer::Granted
    );
}

#[test]
fn a_leader_whose_clock_is_wrong_ends_no_retention_and_does_not_stop_time() {
    let retention_ms = ClaimLimits::default().retention_ms;
    let mut bench = Bench::new(ClaimLimits::default());
    let key = key("a", "1");
    bench.claim(&key, "x", &attempt(1, 1, 1));
    bench.finish(&key, &attempt(1, 1, 1), "booked");
    let before_ms = bench.at_ms;
    let stored = ClaimAnswer::Finished(outcome("booked"));
    for wrong_ms in [u64::MAX, 0, before_ms + 9 * retention_ms, before_ms] {
        bench.at_ms = wrong_ms;
        assert_eq!(
            bench.claim(&key, "x", &attempt(2, 1, 1)),
            stored,
            "at {wrong_ms}"
        );
    }
    bench.wait(retention_ms);
    assert!(bench.claims.is_empty());
}

#[test]
fn one_customers_flood_leaves_room_for_others() {
    let bounds = ClaimLimits {
        customer_bytes_max: 64 * 1024,
        ..ClaimLimits::default()
    };
    let mut bench = Bench::new(bounds);
    let granted = (0..100)
        .map(|n| bench.claim(&key("flood", &n.to_string()), "x", &attempt(1, 1, n)))
        .filter(|answer| *answer == ClaimAnswer::Granted)
        .count();
    assert!((5..10).contains(&granted), "{granted}");
    assert_eq!(
        bench.claim(&key("b", "k"), "x", &attempt(1, 1, 200)),
        ClaimAnswer::Granted
    );
}

#[test]
fn room_for_an_outcome_is_reserved_with_the_claim_and_returned_after_it() {
    let mut bench = Bench::new(ClaimLimits::default());
    let key = key("a", "k");
    bench.claim(&key, "x", &attempt(1, 1, 1));
    assert!(bench.claims.bytes() > STORED_BODY_BYTES_MAX);
    bench.finish(&key, &attempt(1, 1, 1), "booked");
    assert!(bench.claims.bytes() < 1_024);
    bench.wait(ClaimLimits::default().retention_ms);
    bench.abandon(claimant(9, 1));
    assert_eq!((bench.claims.bytes(), bench.claims.len()), (0, 0));
}

#[test]
fn a_long_body_is_left_out_and_only_some_headers_are_kept() {
    let mut long = outcome(&"x".repeat(STORED_BODY_BYTES_MAX + 1));
    let header = |name: &str, length: usize| StoredHeader {
        name: name.to_owned(),
        value: vec![b'v'; length],
    };
    long.headers = vec![
        header("set-cookie", 10),
        header("content-type", 10),
        header("location", STORED_HEADERS_BYTES_MAX),
    ];
    let trim_to_limits = long.trim_to_limits();
    let length_bytes = STORED_BODY_BYTES_MAX as u64 + 1;
    assert_eq!(trim_to_limits.body, StoredBody::TooLong { length_bytes });
    assert_eq!(trim_to_limits.headers, [header("content-type", 10)]);
}

#[test]
fn parts_of_a_request_do_not_run_into_one_another() {
    let digest = RequestDigest::of("POST", "/a", b"b");
    assert_ne!(digest, RequestDigest::of("POST", "/ab", b""));
    assert_eq!(digest, RequestDigest::of("POST", "/a", b"b"));
}

#[test]
fn hostile_idempotency_keys_are_refused() {
    for key in ["", "a b", "a\r\nb", "ключ", &"k".repeat(256)] {
        assert!(IdempotencyKey::new(key).is_err(), "{key:?}");
    }
}

#[test]
fn mutated_snapshots_decode_or_are_refused_without_a_panic() {
    fn property(places: Vec<(usize, u8)>, length: usize) -> bool {
        let mut bench = Bench::new(ClaimLimits::default());
        bench.claim(&key("a", "1"), "x", &attempt(1, 1, 1));
        bench.claim(&key("a", "2"), "x", &attempt(1, 1, 2));
        bench.finish(&key("a", "2"), &attempt(1, 1, 2), "booked");
        let mut bytes = bench.claims.snapshot();
        for (place, value) in places {
            let place = place % bytes.len();
            bytes[place] = value;
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
fn a_damaged_snapshot_is_refused() {
    let mut bench = Bench::new(ClaimLimits::default());
    bench.claim(&key("a", "k"), "x", &attempt(1, 1, 1));
    let snapshot = bench.claims.snapshot();
    assert!(Claims::restore(&[]).is_err());
    assert!(Claims::restore(&snapshot[..snapshot.len() - 1]).is_err());
    let mut other_format = snapshot;
    other_format[0] = 9;
    assert!(Claims::restore(&other_format).is_err());
}

#[test]
fn a_lost_outcome_is_unknown_and_never_runs_again() {
    let mut bench = Bench::new(ClaimLimits::default());
    let key = key("център", "seat-8");
    assert_eq!(
        bench.claim(&key, "a", &attempt(1, 1, 1)),
        ClaimAnswer::Granted
    );
    assert_eq!(bench.claims.claimants(), [claimant(1, 1)]);
    assert_eq!(
        bench.mark_unknown(&key, &attempt(2, 1, 1)),
        SettleAnswer::NotHolder,
        "only the holder may lose a claim"
    );
    assert_eq!(
        bench.mark_unknown(&key, &attempt(1, 1, 1)),
        SettleAnswer::Recorded
    );
    assert_eq!(
        bench.claim(&key, "a", &attempt(1, 1, 2)),
        ClaimAnswer::Unknown
    );
    assert!(bench.claims.claimants().is_empty());
}
