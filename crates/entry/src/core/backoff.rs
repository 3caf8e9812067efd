use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::Rng;

/// Exponential backoff with full jitter.
#[derive(Debug)]
pub struct Backoff {
    attempt: u32,
    base_us: u64,
    max_us: u64,
    random: Xoshiro256PlusPlus,
}

impl Backoff {
    /// Number of delays since the last reset.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// A delay drawn evenly between zero and a bound that doubles with each attempt.
    pub fn delay_us(&mut self) -> u64 {
        let doublings = self.attempt.min(20);
        let bound_us = (self.base_us << doublings).min(self.max_us);
        self.attempt += 1;
        self.random.next_u64() % (bound_us + 1)
    }

    /// Starts at `base_us` and stays under `max_us`.
    #[must_use]
    pub fn new(base_us: u64, max_us: u64, random: Xoshiro256PlusPlus) -> Self {
        Self {
            attempt: 0,
            base_us,
            max_us,
            random,
        }
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
