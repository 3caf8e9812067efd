use crate::length_histogram::{BUCKET_COUNT, Hazards, bucket_end, bucket_of, bucket_start};

/// Smaller survival probabilities count as 0.
const SURVIVAL_MIN: f64 = 1e-4;

/// Predicted distribution of one generation's final length, given its present length.
#[derive(Debug, Clone)]
pub struct LengthPrediction {
    generated_tokens: f64,
    hazards: Hazards,
    max_tokens: f64,
}

impl LengthPrediction {
    pub(crate) fn new(hazards: Hazards, generated_tokens: u32, max_tokens: u32) -> Self {
        Self {
            generated_tokens: f64::from(generated_tokens),
            hazards,
            max_tokens: f64::from(max_tokens.max(generated_tokens)),
        }
    }

    /// Expected final length.
    #[must_use]
    pub fn mean_tokens(&self) -> f64 {
        let mut survival = 1.0;
        let mut from_tokens = self.generated_tokens;
        let mut mean_tokens = self.generated_tokens;
        for index in self.current_bucket()..BUCKET_COUNT {
            let to_tokens = end_tokens(index).min(self.max_tokens);
            if to_tokens <= from_tokens {
                break;
            }
            let next_survival = survival * self.survival_to_bucket_end(index, from_tokens);
            mean_tokens += (to_tokens - from_tokens) * f64::midpoint(survival, next_survival);
            survival = next_survival;
            from_tokens = to_tokens;
        }
        mean_tokens
    }

    /// Quantile of the final length: the length that is not exceeded with the given probability.
    #[must_use]
    pub fn quantile_tokens(&self, probability: f64) -> f64 {
        let target_survival = 1.0 - probability;
        let mut survival = 1.0;
        let mut from_tokens = self.generated_tokens;
        for index in self.current_bucket()..BUCKET_COUNT {
            let to_tokens = end_tokens(index);
            let next_survival = survival * self.bucket_survival(index, from_tokens, to_tokens);
            if next_survival <= target_survival {
                let fraction = (target_survival / survival).ln() / (next_survival / survival).ln();
                return (from_tokens + fraction * (to_tokens - from_tokens)).min(self.max_tokens);
            }
            survival = next_survival;
            from_tokens = to_tokens;
        }
        self.max_tokens
    }

    /// Probabilities that the generation runs beyond each of the ascending `steps`.
    pub(crate) fn survival_probabilities<const N: usize>(&self, steps: &[u32; N]) -> [f64; N] {
        let mut survival = 1.0;
        let mut from_tokens = self.generated_tokens;
        let mut index = self.current_bucket();
        steps.map(|step| {
            let target_tokens = self.generated_tokens + f64::from(step);
            if (target_tokens >= self.max_tokens && step > 0) || survival < SURVIVAL_MIN {
                return 0.0;
            }
            while index < BUCKET_COUNT - 1 && end_tokens(index) <= target_tokens {
                survival *= self.survival_to_bucket_end(index, from_tokens);
                from_tokens = end_tokens(index);
                index += 1;
            }
            survival * self.bucket_survival(index, from_tokens, target_tokens)
        })
    }

    /// Limit on further tokens of the generation.
    pub(crate) fn remaining_tokens_max(&self) -> f64 {
        self.max_tokens - self.generated_tokens
    }

    fn bucket_survival(&self, index: usize, from_tokens: f64, to_tokens: f64) -> f64 {
        let width_tokens = end_tokens(index) - bucket_start(index);
        (1.0 - self.hazards[index]).powf((to_tokens - from_tokens) / width_tokens)
    }

    /// Survival probability from `from_tokens` to the end of a bucket.
    fn survival_to_bucket_end(&self, index: usize, from_tokens: f64) -> f64 {
        if from_tokens <= bucket_start(index) {
            1.0 - self.hazards[index]
        } else {
            self.bucket_survival(index, from_tokens, end_tokens(index))
        }
    }

    fn current_bucket(&self) -> usize {
        (0..BUCKET_COUNT - 1)
            .find(|&index| self.generated_tokens < bucket_end(index))
            .unwrap_or(BUCKET_COUNT - 1)
    }
}

fn end_tokens(index: usize) -> f64 {
    bucket_end(index)
}

/// Buckets that a generation grows beyond, from one length to another.
pub(crate) fn passed_buckets(previous_tokens: u32, now_tokens: u32) -> std::ops::Range<usize> {
    bucket_of(previous_tokens)..bucket_of(now_tokens)
}
