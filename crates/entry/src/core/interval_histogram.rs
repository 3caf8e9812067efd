//! Histogram of recent intervals.
//!
//! There are eight buckets for each power of two, so a quantile is at most one eighth too high. All
//! counts are halved when their total reaches a limit, so that recent intervals weigh more.

/// Buckets for each power of two.
const BUCKETS_PER_DOUBLING: u64 = 8;

/// Buckets for intervals up to 2^40 µs, about twelve days.
const BUCKETS: usize = 40 * 8;

/// Total count at which the counts are halved.
const COUNT_MAX: u32 = 1 << 14;

/// Histogram of intervals in which older intervals lose weight.
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
    /// Returns the number of intervals, after the halvings.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.total
    }

    /// Returns the quantile `per_mille` of the intervals, rounded up to the end of its bucket;
    /// `None` for an empty histogram.
    #[must_use]
    pub fn quantile_us(&self, per_mille: u32) -> Option<u64> {
        let rank = u64::from(self.total) * u64::from(per_mille);
        let mut cumulative = 0;
        self.buckets
            .iter()
            .enumerate()
            .find_map(|(bucket, &count)| {
                cumulative += u64::from(count) * 1_000;
                (count > 0 && cumulative >= rank).then(|| bucket_max_us(bucket))
            })
    }

    /// Adds an interval.
    pub fn record(&mut self, interval_us: u64) {
        self.buckets[bucket_of(interval_us)] += 1;
        self.total += 1;
        if self.total >= COUNT_MAX {
            self.halve_counts();
        }
    }

    fn halve_counts(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.total = self.buckets.iter().map(|&count| u32::from(count)).sum();
    }
}

fn bucket_of(interval_us: u64) -> usize {
    let interval_us = interval_us.max(BUCKETS_PER_DOUBLING);
    let exponent = u64::from(interval_us.ilog2());
    let step = (interval_us >> (exponent - 3)) & (BUCKETS_PER_DOUBLING - 1);
    let bucket = (exponent - 3) * BUCKETS_PER_DOUBLING + step;
    usize::try_from(bucket).map_or(BUCKETS - 1, |bucket| bucket.min(BUCKETS - 1))
}

/// Returns the largest interval that a bucket counts.
fn bucket_max_us(bucket: usize) -> u64 {
    let bucket = bucket as u64;
    ((BUCKETS_PER_DOUBLING + bucket % BUCKETS_PER_DOUBLING + 1) << (bucket / BUCKETS_PER_DOUBLING))
        - 1
}
