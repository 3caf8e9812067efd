//! The prefill speed of a service is learnt from first events. Guards against the load of engines that are
//! slower than assumed: too much is admitted there, prompts wait for each other, and what cannot be
//! answered in time is not refused.

use placement::{Candidate, Demand, Load, PREFILL_TOKENS_PER_MS, PrefillSlowness};
use quickcheck::QuickCheck;

/// Time between two prompts of one instance.
const PROMPT_INTERVAL_MS: u64 = 900;

const PROMPT_TOKENS: u64 = 3_000;

/// Time that a first event takes besides the prefill.
const OTHER_MS: u64 = 40;

/// Time within which a change of speed has to be known.
const KNOWN_WITHIN_MS: u64 = 20_000;

/// Observes prompts at engines that prefill at a rate, in tokens a second; `crowding_percents` is how much
/// longer each takes than alone. Returns the time after them.
fn observe(
    slowness: &mut PrefillSlowness,
    mut now_ms: u64,
    tokens_per_s: u64,
    crowding_percents: &[u64],
) -> u64 {
    let expected_ms = PROMPT_TOKENS / PREFILL_TOKENS_PER_MS;
    for crowding_percent in crowding_percents {
        now_ms += PROMPT_INTERVAL_MS;
        let prefill_ms = PROMPT_TOKENS * 1_000 / tokens_per_s;
        let observed_ms = OTHER_MS + prefill_ms * crowding_percent / 100;
        slowness.record(now_ms, expected_ms, observed_ms);
    }
    now_ms
}

/// Crowding of the prompts of 20 s: most take a little longer than alone, some far longer.
fn usual_crowding() -> Vec<u64> {
    let prompts = KNOWN_WITHIN_MS / PROMPT_INTERVAL_MS;
    let crowding = |number| {
        if number % 4 == 0 {
            300
        } else {
            100 + number % 7
        }
    };
    (0..prompts).map(crowding).collect()
}

/// An estimate in percent of the true slowness.
fn accuracy_percent(estimate_percent: u64, tokens_per_s: u64) -> u64 {
    let true_percent = 100_000 * PREFILL_TOKENS_PER_MS / tokens_per_s;
    estimate_percent * 100 / true_percent
}

#[test]
fn slow_engines_are_known_within_20_s() {
    for tokens_per_s in [2_100, 3_000, 4_000] {
        let mut slowness = PrefillSlowness::default();
        let now_ms = observe(&mut slowness, 0, tokens_per_s, &usual_crowding());
        let accuracy = accuracy_percent(slowness.percent(now_ms), tokens_per_s);
        assert!(
            (90..=130).contains(&accuracy),
            "{tokens_per_s}: {accuracy} %"
        );
    }
}

#[test]
fn engines_as_fast_as_assumed_or_faster_change_nothing() {
    for tokens_per_s in [7_000, 14_000, 28_000] {
        let mut slowness = PrefillSlowness::default();
        let now_ms = observe(&mut slowness, 0, tokens_per_s, &usual_crowding());
        assert_eq!(slowness.percent(now_ms), 100, "{tokens_per_s}");
    }
}

#[test]
fn a_change_of_speed_is_known_within_20_s() {
    let mut slowness = PrefillSlowness::default();
    let now_ms = observe(&mut slowness, 0, 2_100, &usual_crowding());
    let now_ms = observe(&mut slowness, now_ms, 7_000, &usual_crowding());
    assert_eq!(slowness.percent(now_ms), 100);
    let now_ms = observe(&mut slowness, now_ms, 3_500, &usual_crowding());
    assert!(slowness.percent(now_ms) >= 180);
}

/// Guards against an estimate that outlives its observations: engines that get nothing because they were
/// slow once would never be tried again.
#[test]
fn an_estimate_ends_with_its_observations() {
    let mut slowness = PrefillSlowness::default();
    let now_ms = observe(&mut slowness, 0, 2_100, &usual_crowding());
    assert!(slowness.percent(now_ms) > 100);
    assert_eq!(slowness.percent(now_ms + KNOWN_WITHIN_MS), 100);
}

/// Guards against a few long waits that make a service look slow.
#[test]
fn a_quarter_of_long_waits_changes_nothing() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(waits_ms: Vec<u16>) -> bool {
        let mut slowness = PrefillSlowness::default();
        let mut now_ms = 0;
        for wait_ms in waits_ms {
            for observed_ms in [u64::from(wait_ms) + 1_000, 300, 310, 320] {
                now_ms += PROMPT_INTERVAL_MS;
                slowness.record(now_ms, 300, observed_ms);
            }
        }
        slowness.percent(now_ms) == 100
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u16>) -> bool);
}

#[test]
fn prompts_of_any_length_give_an_estimate_within_the_limits() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(observations: Vec<(u16, u32)>) -> bool {
        let mut slowness = PrefillSlowness::default();
        let mut observations = (1..).zip(observations);
        observations.all(|(now_ms, (expected_ms, observed_ms))| {
            slowness.record(now_ms, expected_ms.into(), observed_ms.into());
            (100..=1_000).contains(&slowness.percent(now_ms))
        })
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<(u16, u32)>) -> bool);
}

/// The load that the estimate answers: engines of half the speed with prompts that wait take no further
/// one which would be late, while engines of the assumed speed do.
#[test]
fn a_late_prompt_is_not_admitted_at_slow_engines() {
    let demand = Demand {
        prefill_tokens: PROMPT_TOKENS,
        prefill_ms_max: 1_125,
        predicted_tokens: 4_000,
        ..Demand::default()
    };
    let candidate = |slowness_percent| Candidate {
        copy_tokens_per_s: 0,
        round_trip_ms: 1,
        is_cold: false,
        is_preferred_for_prefill: true,
        load: Load {
            prefill_tokens: 4_000,
            predicted_tokens: 8_000,
            requests: 2,
            ..Load::default()
        },
        memory_tokens: 34_000,
        slots: 24,
        slowness_percent,
    };
    let mut slowness = PrefillSlowness::default();
    let now_ms = observe(&mut slowness, 0, 3_500, &usual_crowding());
    assert!(!candidate(slowness.percent(now_ms)).has_capacity(&demand));
    let now_ms = observe(&mut slowness, now_ms, 7_000, &usual_crowding());
    assert!(candidate(slowness.percent(now_ms)).has_capacity(&demand));
}

#[test]
fn a_change_is_reported_once() {
    let mut slowness = PrefillSlowness::default();
    let now_ms = observe(&mut slowness, 0, 3_000, &usual_crowding());
    let reported = slowness.changed(now_ms);
    assert!(reported.is_some_and(|(percent, _)| percent > 200));
    assert_eq!(slowness.changed(now_ms), None);
}
