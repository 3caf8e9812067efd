//! How often predicted quantiles of output length hold.
//!
//! Each row draws lengths of its own scale; halfway all lengths double. Predictions are made before
//! a generation starts and again once it has produced some tokens.

use dispatch::{KindIndex, LengthEstimator, LengthObservation, LengthStats, Settings};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const KIND: KindIndex = KindIndex(0);
const MAX_TOKENS: u32 = 8_192;
const PROBABILITIES: [f64; 3] = [0.5, 0.9, 0.99];
const STAGES_TOKENS: [u32; 3] = [0, 256, 1_024];

/// How lengths are spread.
#[derive(Debug, Clone, Copy)]
enum Spread {
    Lognormal { median: f64, sigma: f64 },
    Pareto { minimum: f64, shape: f64 },
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    held: u32,
    made: u32,
}

struct Draw(Xoshiro256PlusPlus);

impl Draw {
    fn unit(&mut self) -> f64 {
        const UNIT: f64 = 1.0 / 4_294_967_296.0;
        f64::from(self.0.next_u32()).mul_add(UNIT, UNIT / 2.0)
    }

    fn length(&mut self, spread: Spread, scale: f64) -> u32 {
        let tokens = match spread {
            Spread::Lognormal { median, sigma } => {
                let radius = (-2.0 * self.unit().ln()).sqrt();
                let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
                median * (sigma * normal).exp()
            }
            Spread::Pareto { minimum, shape } => minimum * self.unit().powf(-1.0 / shape),
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        let whole = (tokens * scale).clamp(1.0, f64::from(MAX_TOKENS)) as u32;
        whole
    }
}

fn count(
    lengths: &LengthEstimator,
    row: &LengthStats,
    length: u32,
    counts: &mut [[Count; PROBABILITIES.len()]; STAGES_TOKENS.len()],
) {
    for (stage, at_tokens) in STAGES_TOKENS.into_iter().enumerate() {
        if length <= at_tokens {
            continue;
        }
        let prediction = lengths.predict(KIND, row, at_tokens, MAX_TOKENS);
        for (column, probability) in PROBABILITIES.into_iter().enumerate() {
            let held = f64::from(length) <= prediction.quantile_tokens(probability);
            counts[stage][column].held += u32::from(held);
            counts[stage][column].made += 1;
        }
    }
}

fn learn(lengths: &mut LengthEstimator, row: &mut LengthStats, length: u32, now_us: u64) {
    let passed = LengthObservation {
        before_tokens: 0,
        generated_tokens: length,
        now_us,
    };
    lengths.forget(KIND, row, now_us);
    if length < MAX_TOKENS {
        lengths.end(KIND, row, passed);
    } else {
        lengths.pass(KIND, row, passed);
    }
}

fn measure(name: &str, spread: Spread, rows: usize, generations: u32) {
    let mut draw = Draw(Xoshiro256PlusPlus::seed_from_u64(1));
    let mut lengths = LengthEstimator::new(&Settings::default());
    let mut known: Vec<LengthStats> = (0..rows).map(|_| LengthStats::default()).collect();
    let scales: Vec<f64> = (0..rows).map(|_| 0.5 + draw.unit()).collect();
    for half in 0..2 {
        let mut counts = Default::default();
        for turn in 0..generations {
            let row = turn as usize % rows;
            let scale = scales[row] * f64::from(half + 1);
            let length = draw.length(spread, scale);
            count(&lengths, &known[row], length, &mut counts);
            let now_us = u64::from(half * generations + turn) * 50_000;
            learn(&mut lengths, &mut known[row], length, now_us);
        }
        for (at_tokens, row) in STAGES_TOKENS.into_iter().zip(counts) {
            let held = row.map(|c| f64::from(c.held) / f64::from(c.made.max(1)));
            println!(
                "lengths={name} rows={rows} doubled={} generated={at_tokens} predictions={} held_50={:.3} held_90={:.3} held_99={:.3}",
                half == 1,
                row[0].made,
                held[0],
                held[1],
                held[2],
            );
        }
    }
}

fn main() {
    let syllabus = Spread::Lognormal {
        median: 900.0,
        sigma: 0.9,
    };
    let advice = Spread::Pareto {
        minimum: 40.0,
        shape: 1.4,
    };
    for rows in [10, 1_000] {
        measure("lognormal", syllabus, rows, 20_000);
        measure("pareto", advice, rows, 20_000);
    }
}
