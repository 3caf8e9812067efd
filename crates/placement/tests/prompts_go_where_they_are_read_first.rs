//! Pattern: a burst of long prompts on engines whose memory fills while they decode.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a model of engines in small numbers"
)]

use placement::{Candidate, Demand, Load, choose_candidate, prefill_engine_count, sample_size};
use quickcheck::QuickCheck;

const MEMORY_TOKENS: u64 = 34_481;

fn engine(tokens: u64, prefill_tokens: u64, runs: u32) -> Candidate {
    Candidate {
        copy_tokens_per_s: 18_000,
        round_trip_ms: 1,
        is_cold: false,
        is_preferred_for_prefill: false,
        load: Load {
            kv_copy_tokens: 0,
            prefill_tokens,
            requests: runs,
            predicted_tokens: tokens,
        },
        memory_tokens: MEMORY_TOKENS,
        slots: 64,
        slowness_percent: 100,
    }
}

fn draft() -> Demand {
    Demand {
        kv_copy_tokens: 0,
        is_migration: false,
        prefill_tokens: 3_000,
        prefill_ms_max: 1_350,
        predicted_tokens: 4_000,
    }
}

#[test]
fn an_engine_is_not_filled_beyond_what_its_runs_will_hold() {
    let full = engine(34_000, 0, 7);
    let busy = engine(24_000, 6_000, 5);
    for draw in 0..100 {
        assert_eq!(choose_candidate(&[full, busy], &draft(), 0, draw), Some(1));
    }
}

/// Lengths spread widely and hints miss them; what is filled by predicted ends stays within the
/// memory nearly always, as the runs are at different points of their way.
#[test]
fn an_engine_filled_by_predicted_ends_seldom_overflows() {
    struct Run {
        held: f64,
        end: f64,
        predicted: u64,
    }
    const STEPS: usize = 20_000;
    const TOKENS_A_STEP: f64 = 10.0;
    let mut draw = 1_u64;
    let mut normal = || {
        // The sum of twelve uniform numbers is nearly normal.
        let uniform = (0..12).map(|_| {
            draw = draw
                .wrapping_mul(0x5851_f42d_4c95_7f2d)
                .wrapping_add(0x1405_7b7e_f767_814f);
            (draw >> 40) as f64 / 2_f64.powi(24)
        });
        uniform.sum::<f64>() - 6.0
    };
    let mut runs: Vec<Run> = Vec::new();
    let mut overflows = 0;
    for _ in 0..STEPS {
        runs.retain(|run| run.held < run.end);
        loop {
            let prompt = 3_000.0 * (0.35 * normal()).exp();
            let output = (660.0 * (0.84 * normal()).exp()).clamp(4.0, 2_216.0);
            let hint = output * (0.5 * normal()).exp();
            let predicted = (prompt + (hint * 1.2).min(2_216.0)) as u64;
            let load = Load {
                requests: runs.len() as u32,
                predicted_tokens: runs.iter().map(|run| run.predicted).sum(),
                ..Load::default()
            };
            let room = Candidate {
                load,
                ..engine(0, 0, 0)
            };
            let demand = Demand {
                predicted_tokens: predicted,
                ..draft()
            };
            if !room.has_capacity(&demand) {
                break;
            }
            runs.push(Run {
                held: prompt,
                end: prompt + output,
                predicted,
            });
        }
        for run in &mut runs {
            run.held += TOKENS_A_STEP;
            run.predicted = run.predicted.max(run.held as u64);
        }
        let held: f64 = runs.iter().map(|run| run.held).sum();
        overflows += usize::from(held > MEMORY_TOKENS as f64);
    }
    assert!(
        overflows * 100 <= STEPS,
        "more than one step in a hundred: {overflows} of {STEPS}"
    );
}

#[test]
fn a_run_that_would_be_lost_goes_where_a_new_one_would_not() {
    let full = engine(34_000, 0, 7);
    let run = Demand {
        is_migration: true,
        prefill_tokens: 0,
        ..draft()
    };
    assert_eq!(choose_candidate(&[full], &draft(), 0, 1), None);
    assert_eq!(choose_candidate(&[full], &run, 0, 1), Some(0));
    assert_eq!(choose_candidate(&[engine(42_000, 0, 10)], &run, 0, 1), None);
}

#[test]
fn short_answers_to_long_prompts_keep_off_the_engines_that_write() {
    let reading = Candidate {
        is_preferred_for_prefill: true,
        ..engine(12_000, 0, 3)
    };
    let writing = engine(12_000, 0, 3);
    let advice = Demand {
        prefill_tokens: 2_200,
        predicted_tokens: 2_220,
        ..draft()
    };
    for draw in 0..100 {
        assert_eq!(
            choose_candidate(&[reading, writing], &advice, 0, draw),
            Some(0)
        );
        assert_eq!(
            choose_candidate(&[reading, writing], &draft(), 0, draw),
            Some(1)
        );
    }
    let queued = Candidate {
        load: Load {
            prefill_tokens: 4_400,
            ..reading.load
        },
        ..reading
    };
    assert_eq!(
        choose_candidate(&[queued, writing], &advice, 0, 1),
        Some(1),
        "it overflows"
    );
    assert_eq!((prefill_engine_count(3), prefill_engine_count(9)), (0, 3));
}

#[test]
fn nothing_is_chosen_where_the_prompt_would_be_read_too_late() {
    let flooded = engine(12_000, 9_000, 3);
    assert_eq!(choose_candidate(&[flooded], &draft(), 0, 1), None);
}

#[test]
fn an_idle_engine_takes_a_request_of_any_size() {
    let huge = Demand {
        predicted_tokens: 2 * MEMORY_TOKENS,
        ..draft()
    };
    assert_eq!(choose_candidate(&[engine(0, 0, 0)], &huge, 0, 1), Some(0));
    assert_eq!(choose_candidate(&[engine(100, 0, 1)], &huge, 0, 1), None);
}

#[test]
fn a_prompt_goes_to_the_engine_with_the_shorter_queue() {
    let queued = engine(10_000, 6_000, 3);
    let free = engine(14_000, 0, 4);
    for draw in 0..100 {
        assert_eq!(
            choose_candidate(&[queued, free], &draft(), 0, draw),
            Some(1)
        );
    }
}

#[test]
fn a_near_endpoint_goes_before_a_far_one() {
    let plain = |round_trip_ms, runs| Candidate {
        copy_tokens_per_s: 0,
        round_trip_ms,
        is_cold: false,
        is_preferred_for_prefill: false,
        load: Load {
            requests: runs,
            ..Load::default()
        },
        memory_tokens: 0,
        slots: 6,
        slowness_percent: 100,
    };
    let far_and_near = [plain(200, 0), plain(1, 1)];
    for draw in 0..100 {
        assert_eq!(
            choose_candidate(&far_and_near, &Demand::default(), 0, draw),
            Some(1)
        );
    }
    let near_is_full = [plain(24, 0), plain(1, 15)];
    assert_eq!(
        choose_candidate(&near_is_full, &Demand::default(), 0, 3),
        Some(0)
    );
}

/// Instances that do not know of each other's choices spread over equal engines.
#[test]
fn equal_engines_share_a_burst() {
    let engines: Vec<Candidate> = (0..9).map(|_| engine(8_000, 0, 2)).collect();
    let mut chosen = [0_u32; 9];
    for number in 0..900_u64 {
        let draw = number.wrapping_mul(0xd134_2543_de82_ef95) ^ (number << 17);
        chosen[choose_candidate(&engines, &draft(), 0, draw).unwrap()] += 1;
    }
    assert!(
        chosen.iter().all(|&count| (40..=200).contains(&count)),
        "uneven: {chosen:?}"
    );
}

/// Sixty instances that choose by the same old sums do not all choose the emptiest engine.
#[test]
fn old_sums_do_not_gather_a_crowd() {
    let mut engines: Vec<Candidate> = (0..72).map(|_| engine(12_000, 0, 3)).collect();
    engines[17] = engine(0, 0, 0);
    let crowd = (0..60_u64)
        .filter(|number| {
            choose_candidate(&engines, &draft(), 25, number.wrapping_mul(0x9e3b)) == Some(17)
        })
        .count();
    assert!(crowd <= 8, "{crowd} of 60 requests went to one engine");
    assert_eq!((sample_size(72, 25), sample_size(9, 0)), (2, 9));
}

#[test]
fn what_is_chosen_has_room() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its arguments over"
    )]
    fn holds(loads: Vec<(u16, u16, u8)>, draw: u64) -> bool {
        let engines: Vec<Candidate> = loads
            .iter()
            .map(|&(tokens, prefill, runs)| {
                engine(u64::from(tokens), u64::from(prefill), u32::from(runs))
            })
            .collect();
        match choose_candidate(&engines, &draft(), 0, draw) {
            Some(at) => engines[at].has_capacity(&draft()),
            None => engines.iter().all(|engine| !engine.has_capacity(&draft())),
        }
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(Vec<(u16, u16, u8)>, u64) -> bool);
}

/// Nine runs leave one engine at once while two others can take them.
#[test]
fn copies_spread_over_the_links_that_take_them() {
    let run = Demand {
        kv_copy_tokens: 3_300,
        is_migration: true,
        prefill_tokens: 0,
        ..draft()
    };
    let mut engines = [engine(8_000, 0, 2), engine(9_000, 0, 2)];
    let mut taken = [0, 0];
    for draw in 0..9 {
        let at = choose_candidate(&engines, &run, 0, draw).expect("both have time left");
        engines[at].load.add(&Load::from(&run));
        taken[at] += 1;
    }
    assert!(
        taken.iter().all(|&runs| (4..=5).contains(&runs)),
        "{taken:?}"
    );
}

#[test]
fn a_run_does_not_go_where_its_copy_would_come_too_late() {
    let run = Demand {
        kv_copy_tokens: 3_300,
        is_migration: true,
        prefill_tokens: 0,
        ..draft()
    };
    let mut engine = engine(2_000, 0, 1);
    engine.load.kv_copy_tokens = 22_000;
    assert_eq!(choose_candidate(&[engine], &run, 0, 1), None);
}

#[test]
fn a_long_answer_goes_to_a_faster_engine() {
    let slow = Candidate {
        slowness_percent: 130,
        ..engine(8_000, 0, 2)
    };
    let busier = engine(12_000, 0, 3);
    for draw in 0..100 {
        assert_eq!(
            choose_candidate(&[slow, busier], &draft(), 0, draw),
            Some(1)
        );
    }
    let stalled = Candidate {
        slowness_percent: 400,
        ..slow
    };
    assert!(
        !stalled.has_capacity(&draft()),
        "it reads the prompt too late"
    );
}
