use crate::LengthPrediction;
use crate::number::{to_f64, to_u64};

/// Decode steps from now at which memory use is forecast.
pub(crate) const HORIZON_STEPS: [u32; 18] = [
    0, 32, 64, 128, 192, 256, 384, 512, 768, 1_024, 1_448, 2_048, 2_896, 4_096, 5_792, 8_192,
    12_288, 16_384,
];

/// Limit on a sequence's size in forecasts, so that sums of squares stay exact.
const SIZE_TOKENS_MAX: f64 = 1e7;

const MILLI_PER_UNIT: f64 = 1_000.0;

/// Tokens added to a sequence's size for its last, partly filled block.
const BLOCK_SLACK_TOKENS: u64 = 16;

/// Forecast memory use of generations at each horizon, as sums over the generations.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast {
    /// Expected number of generations that still run, in thousandths.
    running_milli: [u64; HORIZON_STEPS.len()],
    mean_tokens: [u64; HORIZON_STEPS.len()],
    variance: [u64; HORIZON_STEPS.len()],
}

impl Forecast {
    /// Forecast of one generation that occupies `used_tokens` now.
    pub(crate) fn of(prediction: &LengthPrediction, used_tokens: u64) -> Self {
        let survival_probabilities = prediction.survival_probabilities(&HORIZON_STEPS);
        let remaining_tokens_max = prediction.remaining_tokens_max();
        let mut forecast = Self::default();
        for (index, survival) in survival_probabilities.into_iter().enumerate() {
            let growth_tokens = f64::from(HORIZON_STEPS[index]).min(remaining_tokens_max);
            let size_tokens = to_f64(used_tokens + BLOCK_SLACK_TOKENS) + growth_tokens;
            let size_tokens = size_tokens.min(SIZE_TOKENS_MAX);
            forecast.running_milli[index] = to_u64(survival * MILLI_PER_UNIT);
            forecast.mean_tokens[index] = to_u64(size_tokens * survival);
            forecast.variance[index] =
                to_u64(size_tokens * size_tokens * survival * (1.0 - survival));
        }
        forecast
    }

    /// Adds another generation's forecast.
    pub(crate) fn add(&mut self, other: &Self) {
        for index in 0..HORIZON_STEPS.len() {
            self.running_milli[index] += other.running_milli[index];
            self.mean_tokens[index] += other.mean_tokens[index];
            self.variance[index] += other.variance[index];
        }
    }

    /// Subtracts a forecast that was added before.
    pub(crate) fn subtract(&mut self, other: &Self) {
        for index in 0..HORIZON_STEPS.len() {
            self.running_milli[index] -= other.running_milli[index];
            self.mean_tokens[index] -= other.mean_tokens[index];
            self.variance[index] -= other.variance[index];
        }
    }

    /// Greatest expected use of both forecasts together over all horizons.
    ///
    /// Returns `None` if the use may exceed the limit. The forecasts count shared prompt blocks once
    /// for each generation, which adds `shared_tokens`. A block stays shared only while both of its
    /// generations run.
    pub(crate) fn peak_tokens(
        &self,
        added: &Self,
        shared_tokens: u64,
        limit: MemoryLimit,
    ) -> Option<f64> {
        let running_milli_now = to_f64((self.running_milli[0] + added.running_milli[0]).max(1));
        let squared_deviations = limit.deviations * limit.deviations;
        let mut peak_tokens: f64 = 0.0;
        for index in 0..HORIZON_STEPS.len() {
            let running_fraction =
                to_f64(self.running_milli[index] + added.running_milli[index]) / running_milli_now;
            let mean_tokens = to_f64(self.mean_tokens[index] + added.mean_tokens[index]);
            let variance = to_f64(self.variance[index] + added.variance[index]);
            let mean_tokens =
                mean_tokens - to_f64(shared_tokens) * running_fraction * running_fraction;
            let free_tokens = limit.tokens - mean_tokens;
            if free_tokens < 0.0 || free_tokens * free_tokens < squared_deviations * variance {
                return None;
            }
            peak_tokens = peak_tokens.max(mean_tokens);
        }
        Some(peak_tokens)
    }
}

/// Memory that forecast use may fill, with a safety margin.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryLimit {
    /// Safety margin in standard deviations of the forecast use.
    pub(crate) deviations: f64,
    pub(crate) tokens: f64,
}
