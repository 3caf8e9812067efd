use names::{EndpointId, PermitId};

use crate::forecast::Forecast;
use crate::number::{real, whole};
use crate::prefix::Retention;
use crate::{EndpointLoad, EndpointProfile, ModelIndex, Settings};

/// Doublings of the pause after failures in a row.
const FAILURE_DOUBLINGS_MAX: u32 = 2;

/// Part of a new measurement in a running average.
const AVERAGE_PART: f64 = 0.2;

/// What an owner knows of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Pauses after failures since the last success.
    failures: u32,
    /// Forecast memory of all permits.
    pub(crate) forecast: Forecast,
    pub(crate) id: EndpointId,
    /// Memory that permits are known to use.
    pub(crate) known_tokens: u64,
    /// None until announced to this owner.
    pub(crate) profile: Option<EndpointProfile>,
    pub(crate) paused_until_us: u64,
    /// Prompt tokens of permits without a first token.
    pub(crate) prefill_tokens: u64,
    pub(crate) ready: bool,
    pub(crate) report: EndpointLoad,
    pub(crate) retention: Retention,
    pub(crate) running: u32,
    /// Blocks that the known sizes of permits count more than once.
    pub(crate) shared_blocks: usize,
    sequences_limit: f64,
    load: Option<Load>,
    /// Permits without a first token, in the order of their grant.
    pub(crate) unstarted: Vec<PermitId>,
}

impl Endpoint {
    pub(crate) fn new(id: EndpointId, settings: &Settings) -> Self {
        Self {
            failures: 0,
            forecast: Forecast::default(),
            id,
            known_tokens: 0,
            paused_until_us: 0,
            prefill_tokens: 0,
            profile: None,
            ready: false,
            report: EndpointLoad::default(),
            retention: Retention::default(),
            running: 0,
            shared_blocks: 0,
            sequences_limit: f64::from(settings.sequences_start),
            load: None,
            unstarted: Vec::new(),
        }
    }

    /// Pauses grants after a failure, twice as long after each in a row.
    ///
    /// Failures during a pause are of permits granted before it and add nothing.
    pub(crate) fn failed(&mut self, now_us: u64, pause_us: u64) {
        if now_us < self.paused_until_us {
            return;
        }
        self.paused_until_us = now_us + (pause_us << self.failures.min(FAILURE_DOUBLINGS_MAX));
        self.failures += 1;
    }

    /// Forgets failures once a permit granted after the last pause has completed.
    pub(crate) fn succeeded(&mut self, granted_us: u64) {
        if granted_us >= self.paused_until_us {
            self.failures = 0;
        }
    }

    /// Whether the known sizes of permits fit the memory.
    pub(crate) fn fits(&self) -> bool {
        let memory_tokens = self.profile.as_ref().map(|profile| profile.memory_tokens);
        memory_tokens.is_some_and(|tokens| self.known_tokens - self.shared_tokens() <= tokens)
    }

    /// Whether the endpoint decodes token by token; a plain service does not.
    pub(crate) fn is_engine(&self) -> bool {
        self.profile
            .as_ref()
            .is_some_and(|profile| profile.block_tokens > 0)
    }

    /// Whether another permit may run, as far as numbers decide it.
    pub(crate) fn is_open(&self, now_us: u64) -> bool {
        self.ready && now_us >= self.paused_until_us && self.running < self.running_max()
    }

    pub(crate) fn serves(&self, model: ModelIndex) -> bool {
        let profile = self.profile.as_ref();
        profile.is_some_and(|profile| profile.model == model)
    }

    /// Most permits at once.
    pub(crate) fn running_max(&self) -> u32 {
        let Some(profile) = &self.profile else {
            return 0;
        };
        if !self.is_engine() {
            return profile.sequences_max;
        }
        u32::try_from(whole(self.sequences_limit))
            .unwrap_or(u32::MAX)
            .clamp(1, profile.sequences_max.max(1))
    }

    /// Engine time of one generated token, if measured.
    pub(crate) fn token_us(&self) -> Option<f64> {
        let load = self.load?;
        Some(load.interval_us / load.running.max(1.0))
    }

    /// Tokens in a number of blocks.
    pub(crate) fn block_tokens(&self, blocks: usize) -> u64 {
        let block_tokens = self
            .profile
            .as_ref()
            .map_or(0, |profile| profile.block_tokens);
        blocks as u64 * u64::from(block_tokens)
    }

    /// Tokens that a sequence occupies in whole blocks.
    pub(crate) fn occupied_tokens(&self, tokens: u64) -> u64 {
        match &self.profile {
            Some(profile) if profile.block_tokens > 0 => {
                tokens.next_multiple_of(u64::from(profile.block_tokens))
            }
            _ => tokens,
        }
    }

    /// Tokens that the known sizes of permits count more than once.
    pub(crate) fn shared_tokens(&self) -> u64 {
        self.block_tokens(self.shared_blocks)
    }

    /// Takes a load report and moves the limit of sequences towards the goal.
    pub(crate) fn observe(&mut self, report: &EndpointLoad, goal_us: u64) {
        self.report = report.clone();
        if report.token_interval_us == 0 || report.running == 0 || !self.is_engine() {
            return;
        }
        let sample = Load {
            interval_us: real(report.token_interval_us),
            running: f64::from(report.running),
        };
        let load = self.load.map_or(sample, |average| average.towards(sample));
        self.load = Some(load);
        self.follow_goal(load, real(goal_us));
    }

    /// Moves the limit to where the interval would meet the goal if it grew with the sequences.
    ///
    /// It grows less than that, so a step never overshoots; interval and sequences are averaged
    /// alike, so that late reports describe one moment.
    fn follow_goal(&mut self, load: Load, goal_us: f64) {
        const MARGIN: f64 = 0.97;
        let target = load.running * goal_us / load.interval_us;
        if load.interval_us > goal_us {
            self.sequences_limit = self.sequences_limit.min(target).max(1.0);
        } else if load.interval_us < goal_us * MARGIN {
            self.sequences_limit = self.sequences_limit.max(target);
        }
        if let Some(profile) = &self.profile {
            let most = f64::from(profile.sequences_max);
            self.sequences_limit = self.sequences_limit.min(most);
        }
    }
}

/// Interval between tokens and the sequences that caused it.
#[derive(Debug, Clone, Copy)]
struct Load {
    interval_us: f64,
    running: f64,
}

impl Load {
    fn towards(self, sample: Self) -> Self {
        let average = |old: f64, new: f64| old + AVERAGE_PART * (new - old);
        Self {
            interval_us: average(self.interval_us, sample.interval_us),
            running: average(self.running, sample.running),
        }
    }
}
