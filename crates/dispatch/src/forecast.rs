use crate::Prediction;
use crate::number::{real, whole};

/// Steps of decoding at which future memory is forecast.
pub(crate) const HORIZONS: [u32; 12] = [
    0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768,
];

/// Most tokens by which a partly filled block exceeds its content.
const BLOCK_SLACK_TOKENS: u64 = 16;

/// Memory that generations are forecast to use at each horizon.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast {
    mean_tokens: [u64; HORIZONS.len()],
    variance: [u64; HORIZONS.len()],
}

impl Forecast {
    /// Forecast of one generation that occupies `used_tokens` now.
    pub(crate) fn of(prediction: &Prediction, used_tokens: u64) -> Self {
        let survivals = prediction.survivals(&HORIZONS);
        let remaining_max = prediction.remaining_tokens_max();
        let mut forecast = Self::default();
        for (index, alive) in survivals.into_iter().enumerate() {
            let grown = f64::from(HORIZONS[index]).min(remaining_max);
            let size = real(used_tokens + BLOCK_SLACK_TOKENS) + grown;
            forecast.mean_tokens[index] = whole(size * alive);
            forecast.variance[index] = whole(size * size * alive * (1.0 - alive));
        }
        forecast
    }

    /// Adds another generation's forecast.
    pub(crate) fn add(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.mean_tokens[index] += other.mean_tokens[index];
            self.variance[index] += other.variance[index];
        }
    }

    /// Takes away what was added before.
    pub(crate) fn subtract(&mut self, other: &Self) {
        for index in 0..HORIZONS.len() {
            self.mean_tokens[index] -= other.mean_tokens[index];
            self.variance[index] -= other.variance[index];
        }
    }

    /// Greatest use over all horizons of both forecasts together, `deviations` above the mean.
    pub(crate) fn peak_tokens(&self, other: &Self, deviations: f64) -> f64 {
        (0..HORIZONS.len())
            .map(|index| {
                let mean = real(self.mean_tokens[index] + other.mean_tokens[index]);
                let variance = real(self.variance[index] + other.variance[index]);
                mean + deviations * variance.sqrt()
            })
            .fold(0.0, f64::max)
    }
}
