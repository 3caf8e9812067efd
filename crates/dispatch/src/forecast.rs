use crate::LengthPrediction;
use crate::number::{real, whole};

/// Steps of decoding at which future memory is forecast.
pub(crate) const HORIZONS: [u32; 18] = [
    0, 32, 64, 128, 192, 256, 384, 512, 768, 1_024, 1_448, 2_048, 2_896, 4_096, 5_792, 8_192,
    12_288, 16_384,
];

/// Size from which on sequences count alike, so that sums of squares stay exact.
const SIZE_TOKENS_MAX: f64 = 1e7;

const MILLI: f64 = 1_000.0;

/// Most tokens by which a partly filled block exceeds its content.
const BLOCK_SLACK_TOKENS: u64 = 16;

/// Memory that generations are forecast to use at each horizon.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast {
    /// Generations expected to go on, in thousandths.
    alive_milli: [u64; HORIZONS.len()],
    mean_tokens: [u64; HORIZONS.len()],
    variance: [u64; HORIZONS.len()],
}

impl Forecast {
    /// Forecast of one generation that occupies `used_tokens` now.
    pub(crate) fn of(prediction: &LengthPrediction, used_tokens: u64) -> Self {
        let survivals = prediction.survivals(&HORIZONS);
        let remaining_max = prediction.remaining_tokens_max();
        let mut forecast = Self::default();
        for (index, alive) in survivals.into_iter().enumerate() {
            let grown = f64::from(HORIZONS[index]).min(remaining_max);
            let size = real(used_tokens + BLOCK_SLACK_TOKENS) + grown;
            let size = size.min(SIZE_TOKENS_MAX);
            forecast.alive_milli[index] = whole(alive * MILLI);
            forecast.mean_tokens[index] = whole(size * alive);
            forecast.variance[index] = whole(size * size * alive * (1.0 - alive));
        }
        forecast
    }

    /// Adds another generation's forecast.
    pub(crate) fn add(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.alive_milli[index] += other.alive_milli[index];
            self.mean_tokens[index] += other.mean_tokens[index];
            self.variance[index] += other.variance[index];
        }
    }

    /// Takes away what was added before.
    pub(crate) fn subtract(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.alive_milli[index] -= other.alive_milli[index];
            self.mean_tokens[index] -= other.mean_tokens[index];
            self.variance[index] -= other.variance[index];
        }
    }

    /// Greatest expected use over all horizons of both forecasts together.
    ///
    /// None if it may exceed the limit. `shared_tokens` is what prompts have in common now and is
    /// counted more than once in the forecasts; both users of a block must go on for it to stay
    /// shared.
    pub(crate) fn peak_tokens(
        &self,
        added: &Self,
        shared_tokens: u64,
        limit: MemoryLimit,
    ) -> Option<f64> {
        let now = real((self.alive_milli[0] + added.alive_milli[0]).max(1));
        let variances = limit.deviations * limit.deviations;
        let mut peak: f64 = 0.0;
        for index in 0..HORIZONS.len() {
            let alive = real(self.alive_milli[index] + added.alive_milli[index]) / now;
            let mean = real(self.mean_tokens[index] + added.mean_tokens[index]);
            let variance = real(self.variance[index] + added.variance[index]);
            let mean = mean - real(shared_tokens) * alive * alive;
            let free = limit.tokens - mean;
            if free < 0.0 || free * free < variances * variance {
                return None;
            }
            peak = peak.max(mean);
        }
        Some(peak)
    }
}

/// Memory that forecasts may fill.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryLimit {
    /// Standard deviations that are kept free.
    pub(crate) deviations: f64,
    pub(crate) tokens: f64,
}
