use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::experiment::load_file::Distribution;

/// Seeded source of random quantities.
#[derive(Debug)]
pub(crate) struct Draw(Xoshiro256PlusPlus);

impl Draw {
    /// A source for one purpose; equal arguments give equal draws.
    pub(crate) fn new(seed: u64, purpose: u64) -> Self {
        Self(Xoshiro256PlusPlus::seed_from_u64(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose,
        ))
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    pub(crate) fn from(&mut self, distribution: &Distribution) -> f64 {
        match *distribution {
            Distribution::Lognormal { median, sigma } => median * (sigma * self.normal()).exp(),
            Distribution::Pareto { minimum, shape } => {
                minimum * (1.0 - self.unit()).powf(-1.0 / shape)
            }
        }
    }

    /// Uniform in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
        let bits = (self.0.next_u64() >> 11) as f64;
        bits / 9_007_199_254_740_992.0
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }
}

/// Rounds a quantity into a range.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped"
)]
pub(crate) fn whole(quantity: f64, least: u32, most: u32) -> u32 {
    quantity.round().clamp(f64::from(least), f64::from(most)) as u32
}

/// Microseconds of a time in seconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small, positive"
)]
pub(crate) fn micros(time_s: f64) -> u64 {
    (time_s * 1e6) as u64
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn wide(count: usize) -> f64 {
    count as f64
}
