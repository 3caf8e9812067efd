//! Measures how often output lengths stay within their predicted quantiles.
//!
//! Each row has random lengths at a scale of its own. In the second half all lengths double.
//! Predictions are made before a generation starts and again after it has generated some tokens.

use dispatch::{KindIndex, LengthEstimator, LengthObservation, LengthStats, Settings};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const KIND: KindIndex = KindIndex(0);
const MAX_TOKENS: u32 = 8_192;
const PROBABILITIES: [f64; 3] = [0.5, 0.9, 0.99];
const PREDICTED_AT_TOKENS: [u32; 3] = [0, 256, 1_024];

/// Distribution of output lengths, in tokens.
#[derive(Debug, Clone, Copy)]
enum Distribution {
    Lognormal { median: f64, sigma: f64 },
    Pareto { minimum: f64, shape: f64 },
}

/// Number of predictions, and of lengths within them.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    predictions: u32,
    within: u32,
}

/// Source of random lengths.
struct RandomLengths(Xoshiro256PlusPlus);

impl RandomLengths {
    fn next_unit(&mut self) -> f64 {
        const UNIT: f64 = 1.0 / 4_294_967_296.0;
        f64::from(self.0.next_u32()).mul_add(UNIT, UNIT / 2.0)
    }

    fn next_length(&mut self, distribution: Distribution, scale: f64) -> u32 {
        let tokens = match distribution {
            Distribution::Lognormal { median, sigma } => {
                let radius = (-2.0 * self.next_unit().ln()).sqrt();
                let normal = radius * (std::f64::consts::TAU * self.next_unit()).cos();
                median * (sigma * normal).exp()
            }
            Distribution::Pareto { minimum, shape } => {
                minimum * self.next_unit().powf(-1.0 / shape)
            }
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        let length_tokens = (tokens * scale).clamp(1.0, f64::from(MAX_TOKENS)) as u32;
        length_tokens
    }
}

fn count_within(
    lengths: &LengthEstimator,
    row: &LengthStats,
    length: u32,
    counts: &mut [[Count; PROBABILITIES.len()]; PREDICTED_AT_TOKENS.len()],
) {
    for (stage, at_tokens) in PREDICTED_AT_TOKENS.into_iter().enumerate() {
        if length <= at_tokens {
            continue;
        }
        let prediction = lengths.predict(KIND, row, at_tokens, MAX_TOKENS);
        for (column, probability) in PROBABILITIES.into_iter().enumerate() {
            let within = f64::from(length) <= prediction.quantile_tokens(probability);
            counts[stage][column].within += u32::from(within);
            counts[stage][column].predictions += 1;
        }
    }
}

fn record_length(lengths: &mut LengthEstimator, row: &mut LengthStats, length: u32, now_us: u64) {
    let observation = LengthObservation {
        previous_tokens: 0,
        generated_tokens: length,
        now_us,
    };
    lengths.decay(KIND, row, now_us);
    if length < MAX_TOKENS {
        lengths.record_end(KIND, row, observation);
    } else {
        lengths.record_growth(KIND, row, observation);
    }
}

fn measure(name: &str, distribution: Distribution, rows: usize, generations: u32) {
    let mut random_lengths = RandomLengths(Xoshiro256PlusPlus::seed_from_u64(1));
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut row_stats: Vec<LengthStats> = (0..rows).map(|_| LengthStats::default()).collect();
    let scales: Vec<f64> = (0..rows)
        .map(|_| 0.5 + random_lengths.next_unit())
        .collect();
    for half in 0..2 {
        let mut counts = Default::default();
        for turn in 0..generations {
            let row = turn as usize % rows;
            let scale = scales[row] * f64::from(half + 1);
            let length = random_lengths.next_length(distribution, scale);
            count_within(&lengths, &row_stats[row], length, &mut counts);
            let now_us = u64::from(half * generations + turn) * 50_000;
            record_length(&mut lengths, &mut row_stats[row], length, now_us);
        }
        for (at_tokens, row) in PREDICTED_AT_TOKENS.into_iter().zip(counts) {
            let within = row.map(|c| f64::from(c.within) / f64::from(c.predictions.max(1)));
            println!(
                "lengths={name} rows={rows} doubled={} generated={at_tokens} predictions={} held_50={:.3} held_90={:.3} held_99={:.3}",
                half == 1,
                row[0].predictions,
                within[0],
                within[1],
                within[2],
            );
        }
    }
}

fn main() {
    let lognormal = Distribution::Lognormal {
        median: 900.0,
        sigma: 0.9,
    };
    let pareto = Distribution::Pareto {
        minimum: 40.0,
        shape: 1.4,
    };
    for rows in [10, 1_000] {
        measure("lognormal", lognormal, rows, 20_000);
        measure("pareto", pareto, rows, 20_000);
    }
}
