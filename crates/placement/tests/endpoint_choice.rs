//! Choice of the endpoint for a request.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a model of engines in small numbers"
)]

use placement::{Candidate, Demand, Load, choose_candidate, prefill_engine_count, sample_size};
use quickcheck::QuickCheck;

const MEMORY_TOKENS: u64 = 34_481;

fn engine(predicted_tokens: u64, prefill_tokens: u64, requests: u32) -> Candidate {
    Candidate {
        copy_tokens_per_s: 18_000,
        round_trip_ms: 1,
        is_cold: false,
        is_preferred_for_prefill: false,
        load: Load {
            kv_copy_tokens: 0,
            prefill_tokens,
            requests,
            predicted_tokens,
        },
        memory_tokens: MEMORY_TOKENS,
        slots: 64,
        slowness_percent: 100,
    }
}

fn generation_demand() -> Demand {
    Demand {
        kv_copy_tokens: 0,
        is_migration: false,
        prefill_tokens: 3_000,
        prefill_ms_max: 1_350,
        predicted_tokens: 4_000,
    }
}

#[test]
fn an_engine_without_memory_for_the_predicted_size_is_not_chosen() {
    let full = engine(34_000, 0, 7);
    let busy = engine(24_000, 6_000, 5);
    for random in 0..100 {
        assert_eq!(
            choose_candidate(&[full, busy], &generation_demand(), 0, random),
            Some(1)
        );
    }
}

/// Lengths vary widely and hints are inaccurate. Even so, memory use rarely exceeds the limit,
/// because requests reach their predicted final sizes at different times.
#[test]
fn an_engine_filled_by_predicted_final_sizes_seldom_overflows() {
    struct Sequence {
        used_tokens: f64,
        final_length: f64,
        predicted_tokens: u64,
    }
    const STEPS: usize = 20_000;
    const TOKENS_PER_STEP: f64 = 10.0;
    let mut random = 1_u64;
    let mut normal = || {
        // The sum of twelve uniform numbers is approximately normal.
        let uniform = (0..12).map(|_| {
            random = random
                .wrapping_mul(0x5851_f42d_4c95_7f2d)
                .wrapping_add(0x1405_7b7e_f767_814f);
            (random >> 40) as f64 / 2_f64.powi(24)
        });
        uniform.sum::<f64>() - 6.0
    };
    let mut sequences: Vec<Sequence> = Vec::new();
    let mut overflows = 0;
    for _ in 0..STEPS {
        sequences.retain(|sequence| sequence.used_tokens < sequence.final_length);
        loop {
            let prompt_tokens = 3_000.0 * (0.35 * normal()).exp();
            let output_tokens = (660.0 * (0.84 * normal()).exp()).clamp(4.0, 2_216.0);
            let hint_tokens = output_tokens * (0.5 * normal()).exp();
            let predicted_tokens = (prompt_tokens + (hint_tokens * 1.2).min(2_216.0)) as u64;
            let load = Load {
                requests: sequences.len() as u32,
                predicted_tokens: sequences
                    .iter()
                    .map(|sequence| sequence.predicted_tokens)
                    .sum(),
                ..Load::default()
            };
            let candidate = Candidate {
                load,
                ..engine(0, 0, 0)
            };
            let demand = Demand {
                predicted_tokens,
                ..generation_demand()
            };
            if !candidate.has_capacity(&demand) {
                break;
            }
            sequences.push(Sequence {
                used_tokens: prompt_tokens,
                final_length: prompt_tokens + output_tokens,
                predicted_tokens,
            });
        }
        for sequence in &mut sequences {
            sequence.used_tokens += TOKENS_PER_STEP;
            sequence.predicted_tokens = sequence.predicted_tokens.max(sequence.used_tokens as u64);
        }
        let used_tokens: f64 = sequences.iter().map(|sequence| sequence.used_tokens).sum();
        overflows += usize::from(used_tokens > MEMORY_TOKENS as f64);
    }
    assert!(
        overflows * 100 <= STEPS,
        "memory overflowed in more than 1 % of the steps: {overflows} of {STEPS}"
    );
}

#[test]
fn a_migration_may_fill_more_memory_than_a_new_request() {
    let full = engine(34_000, 0, 7);
    let migration = Demand {
        is_migration: true,
        prefill_tokens: 0,
        ..generation_demand()
    };
    assert_eq!(choose_candidate(&[full], &generation_demand(), 0, 1), None);
    assert_eq!(choose_candidate(&[full], &migration, 0, 1), Some(0));
    assert_eq!(
        choose_candidate(&[engine(42_000, 0, 10)], &migration, 0, 1),
        None
    );
}

#[test]
fn short_answers_to_long_prompts_go_to_engines_preferred_for_prefill() {
    let for_prefill = Candidate {
        is_preferred_for_prefill: true,
        ..engine(12_000, 0, 3)
    };
    let for_decode = engine(12_000, 0, 3);
    let mostly_prefill = Demand {
        prefill_tokens: 2_200,
        predicted_tokens: 2_220,
        ..generation_demand()
    };
    for random in 0..100 {
        assert_eq!(
            choose_candidate(&[for_prefill, for_decode], &mostly_prefill, 0, random),
            Some(0)
        );
        assert_eq!(
            choose_candidate(&[for_prefill, for_decode], &generation_demand(), 0, random),
            Some(1)
        );
    }
    let queued = Candidate {
        load: Load {
            prefill_tokens: 4_400,
            ..for_prefill.load
        },
        ..for_prefill
    };
    assert_eq!(
        choose_candidate(&[queued, for_decode], &mostly_prefill, 0, 1),
        Some(1),
        "a long queue overflows to the other engines"
    );
    assert_eq!((prefill_engine_count(3), prefill_engine_count(9)), (0, 3));
}

#[test]
fn no_engine_is_chosen_if_the_prefill_would_end_too_late() {
    let queued = engine(12_000, 9_000, 3);
    assert_eq!(
        choose_candidate(&[queued], &generation_demand(), 0, 1),
        None
    );
}

#[test]
fn an_idle_engine_accepts_a_request_of_any_size() {
    let huge = Demand {
        predicted_tokens: 2 * MEMORY_TOKENS,
        ..generation_demand()
    };
    assert_eq!(choose_candidate(&[engine(0, 0, 0)], &huge, 0, 1), Some(0));
    assert_eq!(choose_candidate(&[engine(100, 0, 1)], &huge, 0, 1), None);
}

#[test]
fn a_prompt_goes_to_the_engine_with_the_shorter_prefill_queue() {
    let queued = engine(10_000, 6_000, 3);
    let free = engine(14_000, 0, 4);
    for random in 0..100 {
        assert_eq!(
            choose_candidate(&[queued, free], &generation_demand(), 0, random),
            Some(1)
        );
    }
}

#[test]
fn a_near_endpoint_is_preferred_to_a_far_one() {
    let plain = |round_trip_ms, requests| Candidate {
        copy_tokens_per_s: 0,
        round_trip_ms,
        is_cold: false,
        is_preferred_for_prefill: false,
        load: Load {
            requests,
            ..Load::default()
        },
        memory_tokens: 0,
        slots: 6,
        slowness_percent: 100,
    };
    let far_and_near = [plain(200, 0), plain(1, 1)];
    for random in 0..100 {
        assert_eq!(
            choose_candidate(&far_and_near, &Demand::default(), 0, random),
            Some(1)
        );
    }
    let near_is_full = [plain(24, 0), plain(1, 15)];
    assert_eq!(
        choose_candidate(&near_is_full, &Demand::default(), 0, 3),
        Some(0)
    );
}

/// Requests of instances that do not know each other's choices are spread over equal engines.
#[test]
fn a_burst_is_spread_over_equal_engines() {
    let engines: Vec<Candidate> = (0..9).map(|_| engine(8_000, 0, 2)).collect();
    let mut chosen = [0_u32; 9];
    for number in 0..900_u64 {
        let random = number.wrapping_mul(0xd134_2543_de82_ef95) ^ (number << 17);
        chosen[choose_candidate(&engines, &generation_demand(), 0, random).unwrap()] += 1;
    }
    assert!(
        chosen.iter().all(|&count| (40..=200).contains(&count)),
        "requests to each engine: {chosen:?}"
    );
}

/// Sixty instances use the same outdated aggregate of loads. They must not all choose the emptiest
/// engine.
#[test]
fn instances_with_outdated_loads_do_not_all_choose_the_same_engine() {
    let mut engines: Vec<Candidate> = (0..72).map(|_| engine(12_000, 0, 3)).collect();
    engines[17] = engine(0, 0, 0);
    let count = (0..60_u64)
        .filter(|number| {
            choose_candidate(
                &engines,
                &generation_demand(),
                25,
                number.wrapping_mul(0x9e3b),
            ) == Some(17)
        })
        .count();
    assert!(count <= 8, "{count} of 60 requests went to one engine");
    assert_eq!((sample_size(72, 25), sample_size(9, 0)), (2, 9));
}

#[test]
fn a_chosen_engine_has_capacity() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn chosen_engine_has_capacity(loads: Vec<(u16, u16, u8)>, random: u64) -> bool {
        let engines: Vec<Candidate> = loads
            .iter()
            .map(|&(predicted, prefill, requests)| {
                engine(
                    u64::from(predicted),
                    u64::from(prefill),
                    u32::from(requests),
                )
            })
            .collect();
        match choose_candidate(&engines, &generation_demand(), 0, random) {
            Some(index) => engines[index].has_capacity(&generation_demand()),
            None => engines
                .iter()
                .all(|engine| !engine.has_capacity(&generation_demand())),
        }
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(chosen_engine_has_capacity as fn(Vec<(u16, u16, u8)>, u64) -> bool);
}

/// Nine generations migrate off one engine at once, and two others have capacity.
#[test]
fn kv_cache_copies_are_spread_over_the_targets_links() {
    let migration = Demand {
        kv_copy_tokens: 3_300,
        is_migration: true,
        prefill_tokens: 0,
        ..generation_demand()
    };
    let mut engines = [engine(8_000, 0, 2), engine(9_000, 0, 2)];
    let mut migrations = [0, 0];
    for random in 0..9 {
        let index = choose_candidate(&engines, &migration, 0, random)
            .expect("both engines have time for another copy");
        engines[index].load.add(&Load::from(&migration));
        migrations[index] += 1;
    }
    assert!(
        migrations.iter().all(|&count| (4..=5).contains(&count)),
        "migrations to each engine: {migrations:?}"
    );
}

#[test]
fn no_target_is_chosen_if_the_kv_cache_copy_would_end_too_late() {
    let migration = Demand {
        kv_copy_tokens: 3_300,
        is_migration: true,
        prefill_tokens: 0,
        ..generation_demand()
    };
    let mut engine = engine(2_000, 0, 1);
    engine.load.kv_copy_tokens = 22_000;
    assert_eq!(choose_candidate(&[engine], &migration, 0, 1), None);
}

#[test]
fn a_long_answer_goes_to_a_faster_engine() {
    let slow = Candidate {
        slowness_percent: 130,
        ..engine(8_000, 0, 2)
    };
    let busier = engine(12_000, 0, 3);
    for random in 0..100 {
        assert_eq!(
            choose_candidate(&[slow, busier], &generation_demand(), 0, random),
            Some(1)
        );
    }
    let stalled = Candidate {
        slowness_percent: 400,
        ..slow
    };
    assert!(
        !stalled.has_capacity(&generation_demand()),
        "its prefill ends too late"
    );
}
