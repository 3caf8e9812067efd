use crate::number::real;

/// Number of length buckets; two an octave above the first.
pub(crate) const BUCKETS: usize = 28;

/// Tokens covered by the first bucket.
const FIRST_BUCKET_TOKENS: f64 = 8.0;

/// Hazard of the last bucket, which has no upper end.
const LAST_HAZARD: f64 = 0.5;

/// Chance of ending within each bucket, given that it was reached.
pub(crate) type Hazards = [f64; BUCKETS];

/// Decayed counts of generations that ended in, or passed through, each bucket.
#[derive(Debug, Clone)]
pub(crate) struct Survival {
    ended: [f32; BUCKETS],
    observed_us: u64,
    passed: [f32; BUCKETS],
}

impl Survival {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            ended: [0.0; BUCKETS],
            observed_us: now_us,
            passed: [0.0; BUCKETS],
        }
    }

    /// Scales everything observed so far.
    pub(crate) fn decay(&mut self, factor: f32) {
        for count in self.ended.iter_mut().chain(&mut self.passed) {
            *count *= factor;
        }
    }

    /// Takes the time since the last call, for decay by time.
    pub(crate) fn elapsed_us(&mut self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.observed_us);
        self.observed_us = now_us;
        elapsed_us
    }

    /// Counts a generation that ended by itself in a bucket.
    pub(crate) fn end(&mut self, bucket: usize) {
        self.ended[bucket] += 1.0;
    }

    /// Counts a generation that outlived a bucket.
    pub(crate) fn pass(&mut self, bucket: usize) {
        self.passed[bucket] += 1.0;
    }

    /// Hazard of a bucket, drawn towards `wider` as if that had been observed `weight` times.
    pub(crate) fn hazard(&self, bucket: usize, wider: f64, weight: f64) -> f64 {
        let ended = f64::from(self.ended[bucket]);
        let reached = ended + f64::from(self.passed[bucket]);
        (ended + weight * wider) / (reached + weight)
    }
}

/// The bucket of a length.
pub(crate) fn bucket(tokens: u32) -> usize {
    (0..BUCKETS - 1)
        .find(|&bucket| f64::from(tokens) < bucket_end(bucket))
        .unwrap_or(BUCKETS - 1)
}

/// First length beyond a bucket.
pub(crate) fn bucket_end(bucket: usize) -> f64 {
    const HALF_OCTAVES: [f64; 2] = [1.0, std::f64::consts::SQRT_2];
    let octave = real(1 << (bucket / 2));
    FIRST_BUCKET_TOKENS * octave * HALF_OCTAVES[bucket % 2]
}

/// First length of a bucket.
pub(crate) fn bucket_start(bucket: usize) -> f64 {
    if bucket == 0 {
        0.0
    } else {
        bucket_end(bucket - 1)
    }
}

/// Hazards of a heavy-tailed (log-logistic) length with the given median.
pub(crate) fn prior(median_tokens: f64) -> Hazards {
    const SHAPE: f64 = 1.5;
    let survival = |tokens: f64| 1.0 / (1.0 + (tokens / median_tokens).powf(SHAPE));
    std::array::from_fn(|bucket| {
        if bucket == BUCKETS - 1 {
            return LAST_HAZARD;
        }
        1.0 - survival(bucket_end(bucket)) / survival(bucket_start(bucket))
    })
}
