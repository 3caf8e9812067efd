use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::Rng;

/// Exponential backoff with full jitter.
#[derive(Debug)]
pub struct Backoff {
    attempts: u32,
    base_us: u64,
    max_us: u64,
    random: Xoshiro256PlusPlus,
}

impl Backoff {
    /// Returns the number of delays since the last reset.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Draws a delay uniformly between zero and a bound that doubles with each attempt.
    pub fn delay_us(&mut self) -> u64 {
        let doublings = self.attempts.min(20);
        let bound_us = (self.base_us << doublings).min(self.max_us);
        self.attempts += 1;
        self.random.next_u64() % (bound_us + 1)
    }

    /// Creates a backoff whose first bound is `base_us` and whose last is `max_us`.
    #[must_use]
    pub fn new(base_us: u64, max_us: u64, random: Xoshiro256PlusPlus) -> Self {
        Self {
            attempts: 0,
            base_us,
            max_us,
            random,
        }
    }

    /// Starts again at the first bound; called after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
