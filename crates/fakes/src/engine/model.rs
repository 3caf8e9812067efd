use std::collections::{BTreeMap, VecDeque};

use dispatch::EndpointLoad;
use names::GenerationId;

use crate::engine::memory::Memory;
use crate::engine::sequence::{Rank, Sequence};
use crate::engine::{
    CacheUpdate, EndReason, EngineEvent, EngineEventKind, EngineSettings, GenerationRequest,
    PromptTooLarge, SequenceState,
};

const INTERVAL_WINDOW_US: u64 = 1_000_000;
/// Part of the memory that stays free when a sequence is admitted, as a divisor.
const RESERVE_DIVISOR: usize = 100;

#[derive(Debug)]
struct Step {
    end_us: u64,
    length_us: u64,
}

/// An engine, advanced by its owner's clock.
#[derive(Debug)]
pub struct EngineModel {
    account_us: Vec<f64>,
    arrivals: u64,
    memory: Memory,
    preemptions: u64,
    running: Vec<Sequence>,
    settings: EngineSettings,
    step_end_us: Option<u64>,
    step_us: u64,
    /// Steps of the last second.
    steps: VecDeque<Step>,
    waiting: BTreeMap<Rank, Sequence>,
}

impl EngineModel {
    /// Builds an idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            account_us: Vec::new(),
            arrivals: 0,
            memory: Memory::new(settings.memory_blocks()),
            preemptions: 0,
            running: Vec::new(),
            settings,
            step_end_us: None,
            step_us: 0,
            steps: VecDeque::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Engine time used so far by each account.
    #[must_use]
    pub fn account_us(&self) -> &[f64] {
        &self.account_us
    }

    /// Runs all steps that end by `now_us` and appends what came out.
    ///
    /// Every other method with a time expects that the engine was advanced to it.
    pub fn advance(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) {
        while let Some(end_us) = self.step_end_us.filter(|&end_us| end_us <= now_us) {
            self.finish_step(end_us, outputs);
            self.start_step(end_us, outputs);
        }
    }

    /// Ends a generation early; false if it is not here.
    pub fn cancel(
        &mut self,
        now_us: u64,
        id: GenerationId,
        outputs: &mut Vec<EngineEvent>,
    ) -> bool {
        let Some(sequence) = self.remove_running(id).or_else(|| self.remove_waiting(id)) else {
            return false;
        };
        outputs.push(ended(now_us, &sequence, EndReason::Cancelled));
        true
    }

    /// Forgets every sequence and the cache, as a death does; returns the numbers.
    pub fn clear(&mut self) -> Vec<GenerationId> {
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        self.memory = Memory::new(self.settings.memory_blocks());
        self.step_end_us = None;
        let all = running.iter().chain(waiting.values());
        all.map(|sequence| sequence.job.generation).collect()
    }

    /// Load at `now_us`.
    #[must_use]
    pub fn load(&self, now_us: u64) -> EndpointLoad {
        let since_us = now_us.saturating_sub(INTERVAL_WINDOW_US);
        let recent = || self.steps.iter().filter(|step| step.end_us > since_us);
        let total_us: u64 = recent().map(|step| step.length_us).sum();
        EndpointLoad {
            memory_used_tokens: self.memory.used() as u64 * u64::from(self.settings.block_tokens),
            preemptions: self.preemptions,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            token_interval_us: total_us / recent().count().max(1) as u64,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// When the current step ends; none while idle.
    #[must_use]
    pub fn next_step_end_us(&self) -> Option<u64> {
        self.step_end_us
    }

    /// Queues a job; an idle engine starts on it at once.
    ///
    /// # Errors
    ///
    /// When the job can never fit; nothing ran.
    pub fn submit(
        &mut self,
        now_us: u64,
        job: GenerationRequest,
        outputs: &mut Vec<EngineEvent>,
    ) -> Result<(), PromptTooLarge> {
        let blocks = (job.prompt_tokens + 1).div_ceil(self.settings.block_tokens) as usize;
        if blocks + self.reserve() > self.settings.memory_blocks() {
            return Err(PromptTooLarge);
        }
        self.arrivals += 1;
        let sequence = Sequence {
            arrival: self.arrivals,
            computed: 0,
            generated: 0,
            job,
            private_blocks: 0,
            scheduled: 0,
        };
        outputs.push(state(now_us, &sequence, SequenceState::Waiting));
        self.waiting.insert(sequence.rank(), sequence);
        if self.step_end_us.is_none() {
            self.start_step(now_us, outputs);
        }
        Ok(())
    }

    /// Takes what changed in the prefix cache since the last call.
    pub fn take_cache_update(&mut self) -> CacheUpdate {
        self.memory.take_news()
    }

    fn admit_waiting(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) {
        while self.running.len() < self.settings.sequences_max as usize {
            let Some((_, sequence)) = self.waiting.first_key_value() else {
                return;
            };
            let hashes = &sequence.job.prefix_hashes;
            let hit_blocks = u32::try_from(self.memory.hits(hashes)).unwrap_or(u32::MAX);
            let private = sequence.private_need(self.settings.block_tokens);
            let reserve = if self.running.is_empty() {
                0
            } else {
                self.reserve()
            };
            if !self.memory.admit(hashes, private, reserve) {
                return;
            }
            let (_, mut sequence) = self.waiting.pop_first().expect("seen above");
            let hit_tokens = hit_blocks.saturating_mul(self.settings.block_tokens);
            sequence.computed = hit_tokens.min(sequence.context_tokens() - 1);
            sequence.private_blocks = private;
            outputs.push(state(now_us, &sequence, SequenceState::Prefill));
            self.running.push(sequence);
        }
    }

    /// Counts the step's time for the accounts whose sequences it computed.
    fn charge(&mut self) {
        let scheduled = || {
            self.running
                .iter()
                .filter(|sequence| sequence.scheduled > 0)
        };
        let sequences = u32::try_from(scheduled().count()).unwrap_or(u32::MAX);
        let base_us = self.settings.base_step_us / f64::from(sequences.max(1));
        for sequence in scheduled() {
            let account = sequence.job.account;
            if account >= self.account_us.len() {
                self.account_us.resize(account + 1, 0.0);
            }
            let prefill = f64::from(sequence.scheduled - 1);
            let own_us = self
                .settings
                .work_us(1.0, prefill, f64::from(sequence.computed));
            self.account_us[account] += base_us + own_us;
        }
    }

    fn finish_step(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) {
        self.charge();
        self.steps.push_back(Step {
            end_us: now_us,
            length_us: self.step_us,
        });
        while self
            .steps
            .front()
            .is_some_and(|step| step.end_us + INTERVAL_WINDOW_US < now_us)
        {
            self.steps.pop_front();
        }
        for sequence in &mut self.running {
            sequence.computed += std::mem::take(&mut sequence.scheduled);
            if sequence.pending_tokens() > 0 {
                continue;
            }
            if sequence.generated == 0 {
                outputs.push(state(now_us, sequence, SequenceState::Running));
            }
            outputs.push(output(
                now_us,
                sequence,
                EngineEventKind::Token(sequence.generated),
            ));
            sequence.generated += 1;
        }
        for sequence in self.running.extract_if(.., |sequence| sequence.is_ended()) {
            self.memory
                .release(&sequence.job.prefix_hashes, sequence.private_blocks);
            outputs.push(ended(now_us, &sequence, EndReason::Stop));
        }
    }

    /// Gives each decoding sequence the block it needs, preempting others if need be.
    fn grow(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) -> bool {
        let mut preempted = false;
        let block_tokens = self.settings.block_tokens;
        let lacks = |s: &&Sequence| s.private_blocks < s.private_need(block_tokens);
        let mut order: Vec<Rank> = self
            .running
            .iter()
            .filter(lacks)
            .map(Sequence::rank)
            .collect();
        order.sort_unstable();
        for rank in order {
            while let Some(sequence) = self.running.iter_mut().find(|s| s.rank() == rank) {
                if self.memory.take_private() {
                    sequence.private_blocks += 1;
                    break;
                }
                self.preempt_last(now_us, outputs);
                preempted = true;
            }
        }
        preempted
    }

    fn preempt_last(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) {
        let last = self.running.iter().max_by_key(|sequence| sequence.rank());
        let last = last
            .expect("a sequence that needs memory is running")
            .job
            .generation;
        let mut sequence = self.remove_running(last).expect("found above");
        if self.running.is_empty() {
            outputs.push(ended(now_us, &sequence, EndReason::Length));
            return;
        }
        self.preemptions += 1;
        sequence.computed = 0;
        sequence.private_blocks = 0;
        outputs.push(state(now_us, &sequence, SequenceState::Preempted));
        self.waiting.insert(sequence.rank(), sequence);
    }

    fn remove_running(&mut self, id: GenerationId) -> Option<Sequence> {
        let position = self.running.iter().position(|s| s.job.generation == id)?;
        let sequence = self.running.remove(position);
        self.memory
            .release(&sequence.job.prefix_hashes, sequence.private_blocks);
        Some(sequence)
    }

    fn remove_waiting(&mut self, id: GenerationId) -> Option<Sequence> {
        let mut waiting = self.waiting.iter();
        let rank = *waiting
            .find(|(_, sequence)| sequence.job.generation == id)?
            .0;
        self.waiting.remove(&rank)
    }

    fn reserve(&self) -> usize {
        self.settings.memory_blocks() / RESERVE_DIVISOR
    }

    /// Shares the step's token budget, decoding first, and returns the step's time.
    fn schedule(&mut self) -> f64 {
        let (mut resident, mut sequences, mut prefill) = (0.0, 0, 0);
        for sequence in &mut self.running {
            resident += f64::from(sequence.computed);
            sequence.scheduled = u32::from(sequence.decodes());
            sequences += sequence.scheduled;
        }
        let mut budget = self.settings.step_tokens_max.saturating_sub(sequences);
        let idle = self
            .running
            .iter_mut()
            .filter(|sequence| sequence.scheduled == 0);
        let mut pending: Vec<&mut Sequence> = idle.collect();
        pending.sort_unstable_by_key(|sequence| sequence.rank());
        for sequence in pending {
            sequence.scheduled = sequence.pending_tokens().min(budget);
            budget -= sequence.scheduled;
            prefill += sequence.scheduled;
            sequences += u32::from(sequence.scheduled > 0);
        }
        self.settings
            .step_us(f64::from(sequences), f64::from(prefill), resident)
    }

    fn start_step(&mut self, now_us: u64, outputs: &mut Vec<EngineEvent>) {
        if !self.grow(now_us, outputs) || self.running.is_empty() {
            self.admit_waiting(now_us, outputs);
        }
        if self.running.is_empty() {
            assert!(
                self.waiting.is_empty(),
                "an empty engine admits any job it took"
            );
            self.step_end_us = None;
            return;
        }
        let step_us = self.schedule().max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let step_us = step_us as u64;
        self.step_us = step_us;
        self.step_end_us = Some(now_us + step_us);
    }
}

fn ended(at_us: u64, sequence: &Sequence, end: EndReason) -> EngineEvent {
    output(at_us, sequence, EngineEventKind::Ended(end))
}

fn output(at_us: u64, sequence: &Sequence, kind: EngineEventKind) -> EngineEvent {
    EngineEvent {
        at_us,
        generation: sequence.job.generation,
        kind,
    }
}

fn state(at_us: u64, sequence: &Sequence, state: SequenceState) -> EngineEvent {
    output(at_us, sequence, EngineEventKind::State(state))
}
