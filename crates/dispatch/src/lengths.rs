use crate::number::real;
use crate::prediction::passed_buckets;
use crate::survival::{BUCKETS, Hazards, Survival, bucket, prior};
use crate::{KindIndex, LengthPrediction, Settings};

/// Lengths observed of one row; empty until the first observation.
#[derive(Debug, Default)]
pub struct LengthStats {
    survival: Option<Box<Survival>>,
}

/// How far a generation has been counted.
#[derive(Debug, Clone, Copy)]
pub struct LengthObservation {
    /// Tokens generated when last counted.
    pub before_tokens: u32,
    /// Tokens generated now.
    pub generated_tokens: u32,
    /// When.
    pub now_us: u64,
}

/// Estimates of output length for rows, drawn towards their kind and then a prior.
#[derive(Debug)]
pub struct LengthEstimator {
    forget: f32,
    half_life_us: u64,
    kinds: Vec<KindLengths>,
    prior: Hazards,
    prior_observations: f64,
}

#[derive(Debug)]
struct KindLengths {
    kind: KindIndex,
    survival: Survival,
}

impl LengthEstimator {
    /// An estimator that has observed nothing.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a factor near one")]
        let forget = (-1.0 / settings.length_memory_generations).exp() as f32;
        Self {
            forget,
            half_life_us: settings.length_memory_half_life_us,
            kinds: Vec::new(),
            prior: prior(settings.length_prior_tokens),
            prior_observations: settings.length_prior_observations,
        }
    }

    /// Counts that a generation ended by itself.
    pub fn end(&mut self, kind: KindIndex, row: &mut LengthStats, observation: LengthObservation) {
        self.pass(kind, row, observation);
        let ended = bucket(observation.generated_tokens);
        for survival in self.survivals(kind, row, observation.now_us) {
            survival.end(ended);
        }
    }

    /// Counts that a generation grew.
    pub fn pass(&mut self, kind: KindIndex, row: &mut LengthStats, observation: LengthObservation) {
        let passed = passed_buckets(observation.before_tokens, observation.generated_tokens);
        if passed.is_empty() {
            return;
        }
        for survival in self.survivals(kind, row, observation.now_us) {
            passed.clone().for_each(|bucket| survival.pass(bucket));
        }
    }

    /// Counts that a generation left, so that older ones count less.
    pub fn forget(&mut self, kind: KindIndex, row: &mut LengthStats, now_us: u64) {
        let (forget, half_life_us) = (self.forget, real(self.half_life_us));
        for survival in self.survivals(kind, row, now_us) {
            let elapsed_us = real(survival.elapsed_us(now_us));
            #[expect(clippy::cast_possible_truncation, reason = "a factor up to one")]
            let by_time = (-elapsed_us / half_life_us).exp2() as f32;
            survival.decay(forget * by_time);
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
        let kind = self.kinds.binary_search_by_key(&kind, |known| known.kind);
        let kind = kind.ok().map(|index| &self.kinds[index].survival);
        for survival in kind.into_iter().chain(row.survival.as_deref()) {
            for (bucket, hazard) in hazards.iter_mut().enumerate().take(BUCKETS - 1) {
                *hazard = survival.hazard(bucket, *hazard, weight);
            }
        }
        hazards
    }

    fn survivals<'a>(
        &'a mut self,
        kind: KindIndex,
        row: &'a mut LengthStats,
        now_us: u64,
    ) -> [&'a mut Survival; 2] {
        let index = match self.kinds.binary_search_by_key(&kind, |known| known.kind) {
            Ok(index) => index,
            Err(index) => {
                let survival = Survival::new(now_us);
                self.kinds.insert(index, KindLengths { kind, survival });
                index
            }
        };
        let own = row
            .survival
            .get_or_insert_with(|| Box::new(Survival::new(now_us)));
        [&mut self.kinds[index].survival, own]
    }
}
