//! Predictions of output length.

use dispatch::{KindIndex, LengthEstimator, LengthObservation, LengthStats, Settings};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const KIND: KindIndex = KindIndex(0);

fn record_length(lengths: &mut LengthEstimator, row: &mut LengthStats, tokens: u32) {
    let observation = LengthObservation {
        previous_tokens: 0,
        generated_tokens: tokens,
        now_us: 0,
    };
    lengths.decay(KIND, row, 0);
    lengths.record_end(KIND, row, observation);
}

#[test]
fn nine_in_ten_lengths_are_within_the_90th_percentile() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    let (mut within, mut predictions) = (0, 0);
    for turn in 0..4_000 {
        // Log-uniform from 32 to 4,096 tokens.
        let octaves = f64::from(rng.next_u32()) / f64::from(u32::MAX) * 7.0;
        let tokens = 32.0 * octaves.exp2();
        let prediction = lengths.predict(KIND, &row, 0, 8_192);
        if turn >= 500 {
            predictions += 1;
            within += u32::from(tokens <= prediction.quantile_tokens(0.9));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        record_length(&mut lengths, &mut row, tokens as u32);
    }
    let fraction = f64::from(within) / f64::from(predictions);
    assert!((0.88..=0.92).contains(&fraction), "{fraction}");
}

#[test]
fn a_row_without_observations_is_predicted_from_its_kind() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut other_row = LengthStats::default();
    for _ in 0..100 {
        record_length(&mut lengths, &mut other_row, 2_000);
    }
    let prediction = lengths.predict(KIND, &LengthStats::default(), 0, 8_192);
    assert!(
        prediction.mean_tokens() > 1_300.0,
        "{}",
        prediction.mean_tokens()
    );
}

#[test]
fn predictions_lie_between_the_generated_and_the_maximum_tokens() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    for _ in 0..100 {
        record_length(&mut lengths, &mut row, 100);
    }
    for generated_tokens in [0, 50, 150, 1_000, 3_999, 4_000] {
        let prediction = lengths.predict(KIND, &row, generated_tokens, 4_000);
        let predicted_tokens = [prediction.mean_tokens(), prediction.quantile_tokens(0.9)];
        assert!(
            predicted_tokens
                .iter()
                .all(|tokens| (f64::from(generated_tokens)..=4_000.0).contains(tokens))
        );
    }
}

#[test]
fn newer_lengths_outweigh_older_ones() {
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row = LengthStats::default();
    for _ in 0..1_000 {
        record_length(&mut lengths, &mut row, 100);
    }
    for _ in 0..1_500 {
        record_length(&mut lengths, &mut row, 1_000);
    }
    let median_tokens = lengths.predict(KIND, &row, 0, 8_192).quantile_tokens(0.5);
    assert!(median_tokens > 700.0, "{median_tokens}");
}
