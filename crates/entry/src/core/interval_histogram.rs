//! Online distribution of times.
//!
//! Counts in buckets whose width is an eighth of a power of two, so that a quantile is at most one
//! eighth too high. When the counts reach a bound all of them are halved: recent times weigh more.

/// Buckets for each power of two.
const STEPS: u64 = 8;

/// Buckets for times up to 2^40 µs, about twelve days.
const BUCKETS: usize = 40 * 8;

/// Total count at which the counts are halved.
const COUNT_MAX: u32 = 1 << 14;

/// Distribution of times that forgets old ones.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct IntervalHistogram {
    buckets: Vec<u16>,
    total: u32,
}

impl Default for IntervalHistogram {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl IntervalHistogram {
    /// Times that count at present.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.total
    }

    /// A time that at most `per_mille` of a thousand recent times exceed the rest of; none without
    /// times.
    #[must_use]
    pub fn quantile_us(&self, per_mille: u32) -> Option<u64> {
        let wanted = u64::from(self.total) * u64::from(per_mille);
        let mut seen = 0;
        self.buckets
            .iter()
            .enumerate()
            .find_map(|(bucket, &count)| {
                seen += u64::from(count) * 1_000;
                (count > 0 && seen >= wanted).then(|| upper_us(bucket))
            })
    }

    /// Takes a time in.
    pub fn record(&mut self, time_us: u64) {
        self.buckets[bucket_of(time_us)] += 1;
        self.total += 1;
        if self.total >= COUNT_MAX {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.total = self.buckets.iter().map(|&count| u32::from(count)).sum();
    }
}

fn bucket_of(time_us: u64) -> usize {
    let time_us = time_us.max(STEPS);
    let exponent = u64::from(time_us.ilog2());
    let step = (time_us >> (exponent - 3)) & (STEPS - 1);
    let bucket = (exponent - 3) * STEPS + step;
    usize::try_from(bucket).map_or(BUCKETS - 1, |bucket| bucket.min(BUCKETS - 1))
}

fn upper_us(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    ((STEPS + bucket % STEPS + 1) << (bucket / STEPS)) - 1
}
