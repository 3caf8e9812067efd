use names::{EndpointId, PermitId};

use crate::forecast::Forecast;
use crate::number::{to_f64, to_u64};
use crate::prefix_index::PrefixRetention;
use crate::{EndpointLoad, EndpointProfile, ModelIndex, Settings};

/// Limit on doublings of the pause after consecutive failures.
const FAILURE_DOUBLINGS_MAX: u32 = 2;

/// Weight of a new sample in an exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// State of one endpoint: its announced profile, last load and the resources that permits use.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Permits without a first token, in the order of their grants.
    pub(crate) awaiting_first_token: Vec<PermitId>,
    /// Number of pauses after failures since the last success.
    failures: u32,
    /// Forecast memory use of all permits.
    pub(crate) forecast: Forecast,
    pub(crate) id: EndpointId,
    pub(crate) load: EndpointLoad,
    load_average: Option<LoadAverage>,
    /// Memory that the permits use now; shared blocks count once for each permit.
    pub(crate) occupied_tokens: u64,
    pub(crate) paused_until_us: u64,
    /// Prompt tokens of permits without a first token.
    pub(crate) prefill_tokens: u64,
    /// `None` until announced to this owner.
    pub(crate) profile: Option<EndpointProfile>,
    pub(crate) ready: bool,
    pub(crate) retention: PrefixRetention,
    pub(crate) running: u32,
    /// Blocks that `occupied_tokens` counts beyond the first time.
    pub(crate) shared_blocks: usize,
    /// Limit on sequences that keeps the time between tokens near its goal.
    sequences_limit: f64,
}

impl Endpoint {
    pub(crate) fn new(id: EndpointId, settings: &Settings) -> Self {
        Self {
            awaiting_first_token: Vec::new(),
            failures: 0,
            forecast: Forecast::default(),
            id,
            load: EndpointLoad::default(),
            load_average: None,
            occupied_tokens: 0,
            paused_until_us: 0,
            prefill_tokens: 0,
            profile: None,
            ready: false,
            retention: PrefixRetention::default(),
            running: 0,
            shared_blocks: 0,
            sequences_limit: f64::from(settings.initial_sequences_max),
        }
    }

    /// Pauses grants after a failure. The pause doubles with each consecutive failure.
    ///
    /// A failure during a pause belongs to an earlier permit and does not extend the pause.
    pub(crate) fn record_failure(&mut self, now_us: u64, pause_us: u64) {
        if now_us < self.paused_until_us {
            return;
        }
        self.paused_until_us = now_us + (pause_us << self.failures.min(FAILURE_DOUBLINGS_MAX));
        self.failures += 1;
    }

    /// Resets the failure count once a permit granted after the last pause has completed.
    pub(crate) fn record_success(&mut self, granted_us: u64) {
        if granted_us >= self.paused_until_us {
            self.failures = 0;
        }
    }

    /// Whether the permits' present memory use, without shared blocks, fits the memory.
    pub(crate) fn is_within_memory(&self) -> bool {
        let memory_tokens = self.profile.as_ref().map(|profile| profile.memory_tokens);
        memory_tokens.is_some_and(|tokens| self.occupied_tokens - self.shared_tokens() <= tokens)
    }

    /// Whether the endpoint is an inference engine and not a plain service.
    pub(crate) fn is_engine(&self) -> bool {
        self.profile
            .as_ref()
            .is_some_and(|profile| profile.block_tokens > 0)
    }

    /// Whether the endpoint is ready, not paused and below its limit of sequences.
    pub(crate) fn accepts_permits(&self, now_us: u64) -> bool {
        self.ready && now_us >= self.paused_until_us && self.running < self.running_max()
    }

    pub(crate) fn serves(&self, model: ModelIndex) -> bool {
        let profile = self.profile.as_ref();
        profile.is_some_and(|profile| profile.model == model)
    }

    /// Limit on permits at once.
    pub(crate) fn running_max(&self) -> u32 {
        let Some(profile) = &self.profile else {
            return 0;
        };
        if !self.is_engine() {
            return profile.sequences_max;
        }
        u32::try_from(to_u64(self.sequences_limit))
            .unwrap_or(u32::MAX)
            .clamp(1, profile.sequences_max.max(1))
    }

    /// Engine time per generated token, once load was reported.
    pub(crate) fn token_us(&self) -> Option<f64> {
        let load_average = self.load_average?;
        Some(load_average.interval_us / load_average.running.max(1.0))
    }

    /// Size of a number of blocks in tokens.
    pub(crate) fn block_tokens(&self, blocks: usize) -> u64 {
        let block_tokens = self
            .profile
            .as_ref()
            .map_or(0, |profile| profile.block_tokens);
        blocks as u64 * u64::from(block_tokens)
    }

    /// Memory of a sequence, rounded up to complete blocks.
    pub(crate) fn block_aligned_tokens(&self, tokens: u64) -> u64 {
        match &self.profile {
            Some(profile) if profile.block_tokens > 0 => {
                tokens.next_multiple_of(u64::from(profile.block_tokens))
            }
            _ => tokens,
        }
    }

    /// Tokens that `occupied_tokens` counts beyond the first time.
    pub(crate) fn shared_tokens(&self) -> u64 {
        self.block_tokens(self.shared_blocks)
    }

    /// Records a load report and adjusts the limit of sequences towards the goal.
    pub(crate) fn record_load(&mut self, load: &EndpointLoad, goal_us: u64) {
        self.load = load.clone();
        if load.token_interval_us == 0 || load.running == 0 || !self.is_engine() {
            return;
        }
        let sample = LoadAverage {
            interval_us: to_f64(load.token_interval_us),
            running: f64::from(load.running),
        };
        let load_average = self
            .load_average
            .map_or(sample, |average| average.updated(sample));
        self.load_average = Some(load_average);
        self.adjust_sequences_limit(load_average, to_f64(goal_us));
    }

    /// Sets the limit to the number of sequences at which the interval would meet the goal, if it
    /// were proportional to the sequences.
    ///
    /// The real interval grows less than in proportion, so a step does not overshoot. Interval and
    /// sequences have the same smoothing, so that late reports describe the same moment.
    fn adjust_sequences_limit(&mut self, load_average: LoadAverage, goal_us: f64) {
        const RAISE_BELOW_GOAL_FRACTION: f64 = 0.97;
        let target_sequences = load_average.running * goal_us / load_average.interval_us;
        if load_average.interval_us > goal_us {
            self.sequences_limit = self.sequences_limit.min(target_sequences).max(1.0);
        } else if load_average.interval_us < goal_us * RAISE_BELOW_GOAL_FRACTION {
            self.sequences_limit = self.sequences_limit.max(target_sequences);
        }
        if let Some(profile) = &self.profile {
            let sequences_max = f64::from(profile.sequences_max);
            self.sequences_limit = self.sequences_limit.min(sequences_max);
        }
    }
}

/// Moving averages of the time between tokens and of the running sequences.
#[derive(Debug, Clone, Copy)]
struct LoadAverage {
    interval_us: f64,
    running: f64,
}

impl LoadAverage {
    fn updated(self, sample: Self) -> Self {
        let average = |old: f64, new: f64| old + SMOOTHING_FACTOR * (new - old);
        Self {
            interval_us: average(self.interval_us, sample.interval_us),
            running: average(self.running, sample.running),
        }
    }
}
