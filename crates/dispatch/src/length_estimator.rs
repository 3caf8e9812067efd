use crate::length_histogram::{BUCKET_COUNT, Hazards, LengthHistogram, bucket_of, prior_hazards};
use crate::length_prediction::passed_buckets;
use crate::number::to_f64;
use crate::{KindIndex, LengthPrediction, Settings};

/// Output lengths observed for one row; empty until the first observation.
#[derive(Debug, Default)]
pub struct LengthStats {
    histogram: Option<Box<LengthHistogram>>,
}

/// Growth of a generation between two observations.
#[derive(Debug, Clone, Copy)]
pub struct LengthObservation {
    /// Tokens generated now.
    pub generated_tokens: u32,
    /// Time of the observation.
    pub now_us: u64,
    /// Tokens generated at the previous observation.
    pub previous_tokens: u32,
}

/// Estimator of output lengths. A row's estimate draws on its kind's, and the kind's on a prior.
#[derive(Debug)]
pub struct LengthEstimator {
    decay_per_generation: f32,
    half_life_us: u64,
    kinds: Vec<KindLengthStats>,
    prior: Hazards,
    prior_observations: f64,
}

/// Output lengths observed for one kind of work.
#[derive(Debug)]
struct KindLengthStats {
    histogram: LengthHistogram,
    kind: KindIndex,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a factor near one")]
        let decay_per_generation = (-1.0 / settings.length_memory_generations).exp() as f32;
        Self {
            decay_per_generation,
            half_life_us: settings.length_memory_half_life_us,
            kinds: Vec::new(),
            prior: prior_hazards(settings.length_prior_tokens),
            prior_observations: settings.length_prior_observations,
        }
    }

    /// Records that a generation completed.
    pub fn record_end(
        &mut self,
        kind: KindIndex,
        row: &mut LengthStats,
        observation: LengthObservation,
    ) {
        self.record_growth(kind, row, observation);
        let ended_bucket = bucket_of(observation.generated_tokens);
        for histogram in self.histograms_mut(kind, row, observation.now_us) {
            histogram.record_end(ended_bucket);
        }
    }

    /// Records that a generation grew.
    pub fn record_growth(
        &mut self,
        kind: KindIndex,
        row: &mut LengthStats,
        observation: LengthObservation,
    ) {
        let passed = passed_buckets(observation.previous_tokens, observation.generated_tokens);
        if passed.is_empty() {
            return;
        }
        for histogram in self.histograms_mut(kind, row, observation.now_us) {
            passed
                .clone()
                .for_each(|bucket| histogram.record_pass(bucket));
        }
    }

    /// Reduces the weight of older observations. Call it when a generation ends.
    pub fn decay(&mut self, kind: KindIndex, row: &mut LengthStats, now_us: u64) {
        let (decay_per_generation, half_life_us) =
            (self.decay_per_generation, to_f64(self.half_life_us));
        for histogram in self.histograms_mut(kind, row, now_us) {
            let elapsed_us = to_f64(histogram.take_elapsed_us(now_us));
            #[expect(clippy::cast_possible_truncation, reason = "a factor up to one")]
            let decay_by_time = (-elapsed_us / half_life_us).exp2() as f32;
            histogram.decay(decay_per_generation * decay_by_time);
        }
    }

    /// Predicts the length of a generation.
    #[must_use]
    pub fn predict(
        &self,
        kind: KindIndex,
        row: &LengthStats,
        generated_tokens: u32,
        max_tokens: u32,
    ) -> LengthPrediction {
        LengthPrediction::new(self.hazards(kind, row), generated_tokens, max_tokens)
    }

    fn hazards(&self, kind: KindIndex, row: &LengthStats) -> Hazards {
        let weight = self.prior_observations;
        let mut hazards = self.prior;
        let kind = self.kinds.binary_search_by_key(&kind, |entry| entry.kind);
        let kind = kind.ok().map(|index| &self.kinds[index].histogram);
        for histogram in kind.into_iter().chain(row.histogram.as_deref()) {
            for (bucket, hazard) in hazards.iter_mut().enumerate().take(BUCKET_COUNT - 1) {
                *hazard = histogram.hazard(bucket, *hazard, weight);
            }
        }
        hazards
    }

    fn histograms_mut<'a>(
        &'a mut self,
        kind: KindIndex,
        row: &'a mut LengthStats,
        now_us: u64,
    ) -> [&'a mut LengthHistogram; 2] {
        let index = match self.kinds.binary_search_by_key(&kind, |entry| entry.kind) {
            Ok(index) => index,
            Err(index) => {
                let histogram = LengthHistogram::new(now_us);
                self.kinds
                    .insert(index, KindLengthStats { histogram, kind });
                index
            }
        };
        let row_histogram = row
            .histogram
            .get_or_insert_with(|| Box::new(LengthHistogram::new(now_us)));
        [&mut self.kinds[index].histogram, row_histogram]
    }
}
