use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::experiment::load_file::Distribution;

/// Seeded random number generator for one purpose.
#[derive(Debug)]
pub(crate) struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    /// Builds a generator; equal arguments give equal sequences.
    pub(crate) fn new(seed: u64, purpose: u64) -> Self {
        Self(Xoshiro256PlusPlus::seed_from_u64(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose,
        ))
    }

    /// Uniform in 0..`bound`; 0 if `bound` is 0.
    pub(crate) fn uniform_below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform_unit()).ln()
    }

    pub(crate) fn sample(&mut self, distribution: &Distribution) -> f64 {
        match *distribution {
            Distribution::Lognormal { median, sigma } => {
                median * (sigma * self.standard_normal()).exp()
            }
            Distribution::Pareto { minimum, shape } => {
                minimum * (1.0 - self.uniform_unit()).powf(-1.0 / shape)
            }
        }
    }

    /// Uniform in [0, 1).
    pub(crate) fn uniform_unit(&mut self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
        let bits = (self.0.next_u64() >> 11) as f64;
        bits / 9_007_199_254_740_992.0
    }

    fn standard_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform_unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.uniform_unit()).cos()
    }
}

/// Rounds a value and clamps it to `min..=max`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped"
)]
pub(crate) fn round_clamped(value: f64, min: u32, max: u32) -> u32 {
    value.round().clamp(f64::from(min), f64::from(max)) as u32
}

/// Converts a time to microseconds, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated times are positive and far below 2^53 µs"
)]
pub(crate) fn seconds_to_us(time_s: f64) -> u64 {
    (time_s * 1e6) as u64
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn usize_to_f64(count: usize) -> f64 {
    count as f64
}
