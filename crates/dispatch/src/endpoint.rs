use names::{EndpointId, PermitId};

use crate::forecast::Forecast;
use crate::number::{real, whole};
use crate::prefix::Retention;
use crate::{Profile, Report, Settings};

/// Part of a new measurement in a running average.
const AVERAGE_PART: f64 = 0.2;

/// What an owner knows of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Forecast memory of all permits.
    pub(crate) forecast: Forecast,
    pub(crate) id: EndpointId,
    /// Memory that permits are known to use.
    pub(crate) known_tokens: u64,
    /// None until announced to this owner.
    pub(crate) profile: Option<Profile>,
    pub(crate) paused_until_us: u64,
    /// Prompt tokens of permits without a first token.
    pub(crate) prefill_tokens: u64,
    pub(crate) ready: bool,
    pub(crate) report: Report,
    pub(crate) retention: Retention,
    pub(crate) running: u32,
    /// Blocks that the known sizes of permits count more than once.
    pub(crate) shared_blocks: usize,
    sequences_limit: f64,
    token_interval_us: Option<f64>,
    /// Permits without a first token, in the order of their grant.
    pub(crate) unstarted: Vec<PermitId>,
}

impl Endpoint {
    pub(crate) fn new(id: EndpointId, settings: &Settings) -> Self {
        Self {
            forecast: Forecast::default(),
            id,
            known_tokens: 0,
            paused_until_us: 0,
            prefill_tokens: 0,
            profile: None,
            ready: false,
            report: Report::default(),
            retention: Retention::default(),
            running: 0,
            shared_blocks: 0,
            sequences_limit: f64::from(settings.sequences_start),
            token_interval_us: None,
            unstarted: Vec::new(),
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
        let interval_us = self.token_interval_us?;
        Some(interval_us / f64::from(self.report.running.max(1)))
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
    pub(crate) fn observe(&mut self, report: &Report, goal_us: u64) {
        self.report = report.clone();
        if report.token_interval_us == 0 || report.running == 0 || !self.is_engine() {
            return;
        }
        let measured_us = real(report.token_interval_us);
        let interval_us = self.token_interval_us.map_or(measured_us, |average_us| {
            average_us + AVERAGE_PART * (measured_us - average_us)
        });
        self.token_interval_us = Some(interval_us);
        self.follow_goal(interval_us, real(goal_us));
    }

    fn follow_goal(&mut self, interval_us: f64, goal_us: f64) {
        const DECREASE_MIN: f64 = 0.9;
        const INCREASE: f64 = 0.05;
        const MARGIN: f64 = 0.95;
        let running = f64::from(self.report.running);
        if interval_us > goal_us {
            let towards = running * (goal_us / interval_us).max(DECREASE_MIN);
            self.sequences_limit = self.sequences_limit.min(towards).max(1.0);
        } else if interval_us < goal_us * MARGIN && running + 2.0 >= self.sequences_limit {
            self.sequences_limit += (self.sequences_limit * INCREASE).max(1.0);
        }
        if let Some(profile) = &self.profile {
            let most = f64::from(profile.sequences_max);
            self.sequences_limit = self.sequences_limit.min(most);
        }
    }
}
