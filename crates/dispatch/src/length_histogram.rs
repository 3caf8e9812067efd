use crate::number::to_f64;

/// Number of length buckets. Above the first there are two per octave.
pub(crate) const BUCKET_COUNT: usize = 28;

/// Size of the first bucket.
const FIRST_BUCKET_TOKENS: f64 = 8.0;

/// Hazard of the last bucket, which has no upper bound.
const LAST_HAZARD: f64 = 0.5;

/// Probability of ending within each bucket, given that the bucket was reached.
pub(crate) type Hazards = [f64; BUCKET_COUNT];

/// Decayed counts of the generations that ended in, or grew beyond, each bucket.
#[derive(Debug, Clone)]
pub(crate) struct LengthHistogram {
    ended: [f32; BUCKET_COUNT],
    last_decay_us: u64,
    passed: [f32; BUCKET_COUNT],
}

impl LengthHistogram {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            ended: [0.0; BUCKET_COUNT],
            last_decay_us: now_us,
            passed: [0.0; BUCKET_COUNT],
        }
    }

    /// Multiplies all counts by a factor.
    pub(crate) fn decay(&mut self, factor: f32) {
        for count in self.ended.iter_mut().chain(&mut self.passed) {
            *count *= factor;
        }
    }

    /// Time since the last call, for decay by time.
    pub(crate) fn take_elapsed_us(&mut self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.last_decay_us);
        self.last_decay_us = now_us;
        elapsed_us
    }

    /// Counts a generation that completed in a bucket.
    pub(crate) fn record_end(&mut self, bucket: usize) {
        self.ended[bucket] += 1.0;
    }

    /// Counts a generation that grew beyond a bucket.
    pub(crate) fn record_pass(&mut self, bucket: usize) {
        self.passed[bucket] += 1.0;
    }

    /// Hazard of a bucket, with `prior_hazard` as if that had been observed `weight` times.
    pub(crate) fn hazard(&self, bucket: usize, prior_hazard: f64, weight: f64) -> f64 {
        let ended = f64::from(self.ended[bucket]);
        let reached = ended + f64::from(self.passed[bucket]);
        (ended + weight * prior_hazard) / (reached + weight)
    }
}

/// Bucket of a length.
pub(crate) fn bucket_of(tokens: u32) -> usize {
    (0..BUCKET_COUNT - 1)
        .find(|&bucket| f64::from(tokens) < bucket_end(bucket))
        .unwrap_or(BUCKET_COUNT - 1)
}

/// Upper bound of a bucket in tokens, exclusive.
pub(crate) fn bucket_end(bucket: usize) -> f64 {
    const HALF_OCTAVES: [f64; 2] = [1.0, std::f64::consts::SQRT_2];
    let octave = to_f64(1 << (bucket / 2));
    FIRST_BUCKET_TOKENS * octave * HALF_OCTAVES[bucket % 2]
}

/// Lower bound of a bucket in tokens.
pub(crate) fn bucket_start(bucket: usize) -> f64 {
    if bucket == 0 {
        0.0
    } else {
        bucket_end(bucket - 1)
    }
}

/// Hazards of a heavy-tailed (log-logistic) length distribution with the given median.
pub(crate) fn prior_hazards(median_tokens: f64) -> Hazards {
    const SHAPE: f64 = 1.5;
    let survival = |tokens: f64| 1.0 / (1.0 + (tokens / median_tokens).powf(SHAPE));
    std::array::from_fn(|bucket| {
        if bucket == BUCKET_COUNT - 1 {
            return LAST_HAZARD;
        }
        1.0 - survival(bucket_end(bucket)) / survival(bucket_start(bucket))
    })
}
