//! Estimates of output length.

use dispatch::{KindIndex, LengthEstimator, LengthObservation, LengthStats, Settings};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const KIND: KindIndex = KindIndex(0);

fn learn(lengths: &mut LengthEstimator, row: &mut LengthStats, tokens: u32) {
    let observation = LengthObservation {
        before_tokens: 0,
        generated_tokens: tokens,
        now_us: 0,
    };
    lengths.forget(KIND, row, 0);
    lengths.end(KIND, row, observation);
}

#[test]
fn the_90th_percentile_holds_nine_times_in_ten() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    let (mut held, mut made) = (0, 0);
    for turn in 0..4_000 {
        // Log-uniform from 32 to 4,096 tokens.
        let octaves = f64::from(rng.next_u32()) / f64::from(u32::MAX) * 7.0;
        let tokens = 32.0 * octaves.exp2();
        let prediction = lengths.predict(KIND, &row, 0, 8_192);
        if turn >= 500 {
            made += 1;
            held += u32::from(tokens <= prediction.quantile_tokens(0.9));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        learn(&mut lengths, &mut row, tokens as u32);
    }
    let part = f64::from(held) / f64::from(made);
    assert!((0.88..=0.92).contains(&part), "{part}");
}

#[test]
fn a_row_without_observations_follows_its_kind() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut known = LengthStats::default();
    for _ in 0..100 {
        learn(&mut lengths, &mut known, 2_000);
    }
    let new = lengths.predict(KIND, &LengthStats::default(), 0, 8_192);
    assert!(new.mean_tokens() > 1_300.0, "{}", new.mean_tokens());
}

#[test]
fn predictions_never_fall_behind_what_is_generated_or_exceed_the_maximum() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    for _ in 0..100 {
        learn(&mut lengths, &mut row, 100);
    }
    for generated in [0, 50, 150, 1_000, 3_999, 4_000] {
        let prediction = lengths.predict(KIND, &row, generated, 4_000);
        let all = [prediction.mean_tokens(), prediction.quantile_tokens(0.9)];
        assert!(
            all.iter()
                .all(|tokens| (f64::from(generated)..=4_000.0).contains(tokens))
        );
    }
}

#[test]
fn old_lengths_are_forgotten() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    for _ in 0..1_000 {
        learn(&mut lengths, &mut row, 100);
    }
    for _ in 0..1_500 {
        learn(&mut lengths, &mut row, 1_000);
    }
    let median = lengths.predict(KIND, &row, 0, 8_192).quantile_tokens(0.5);
    assert!(median > 700.0, "{median}");
}
