use crate::survival::{BUCKETS, Hazards, bucket, bucket_end, bucket_start};

/// Chance of going on that counts as none.
const ALIVE_MIN: f64 = 1e-4;

/// What is predicted of one generation's length, given what it has produced.
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
        let mut alive = 1.0;
        let mut from = self.generated_tokens;
        let mut mean = self.generated_tokens;
        for index in self.first_bucket()..BUCKETS {
            let to = end(index).min(self.max_tokens);
            if to <= from {
                break;
            }
            let after = alive * self.rest_survival(index, from);
            mean += (to - from) * f64::midpoint(alive, after);
            alive = after;
            from = to;
        }
        mean
    }

    /// Length that is not exceeded with the given probability.
    #[must_use]
    pub fn quantile_tokens(&self, probability: f64) -> f64 {
        let target = 1.0 - probability;
        let mut alive = 1.0;
        let mut from = self.generated_tokens;
        for index in self.first_bucket()..BUCKETS {
            let to = end(index);
            let after = alive * self.bucket_survival(index, from, to);
            if after <= target {
                let part = (target / alive).ln() / (after / alive).ln();
                return (from + part * (to - from)).min(self.max_tokens);
            }
            alive = after;
            from = to;
        }
        self.max_tokens
    }

    /// Probabilities that the length exceeds the present one by each of the growing `steps`.
    pub(crate) fn survivals<const N: usize>(&self, steps: &[u32; N]) -> [f64; N] {
        let mut alive = 1.0;
        let mut from = self.generated_tokens;
        let mut index = self.first_bucket();
        steps.map(|step| {
            let target = self.generated_tokens + f64::from(step);
            if (target >= self.max_tokens && step > 0) || alive < ALIVE_MIN {
                return 0.0;
            }
            while index < BUCKETS - 1 && end(index) <= target {
                alive *= self.rest_survival(index, from);
                from = end(index);
                index += 1;
            }
            alive * self.bucket_survival(index, from, target)
        })
    }

    /// Most tokens that the generation may still produce.
    pub(crate) fn remaining_tokens_max(&self) -> f64 {
        self.max_tokens - self.generated_tokens
    }

    fn bucket_survival(&self, index: usize, from: f64, to: f64) -> f64 {
        let width = end(index) - bucket_start(index);
        (1.0 - self.hazards[index]).powf((to - from) / width)
    }

    /// Survival to the end of a bucket.
    fn rest_survival(&self, index: usize, from: f64) -> f64 {
        if from <= bucket_start(index) {
            1.0 - self.hazards[index]
        } else {
            self.bucket_survival(index, from, end(index))
        }
    }

    fn first_bucket(&self) -> usize {
        (0..BUCKETS - 1)
            .find(|&index| self.generated_tokens < bucket_end(index))
            .unwrap_or(BUCKETS - 1)
    }
}

fn end(index: usize) -> f64 {
    bucket_end(index)
}

/// Bucket boundaries that a generation passes as it grows.
pub(crate) fn passed_buckets(before_tokens: u32, now_tokens: u32) -> std::ops::Range<usize> {
    bucket(before_tokens)..bucket(now_tokens)
}
