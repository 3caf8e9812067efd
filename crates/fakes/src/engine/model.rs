use std::collections::{BTreeMap, VecDeque};

use dispatch::EndpointLoad;
use names::GenerationId;

use crate::engine::kv_cache::KvCache;
use crate::engine::sequence::{SchedulingRank, Sequence};
use crate::engine::{
    CacheUpdate, EndReason, EngineEvent, EngineEventKind, EngineSettings, GenerationRequest,
    PromptTooLarge, SequenceState,
};

/// Averaging window of `token_interval_us` in load reports.
const LOAD_WINDOW_US: u64 = 1_000_000;
/// A sequence is admitted only if 1 / `ADMISSION_RESERVE_DIVISOR` of the KV cache stays free.
const ADMISSION_RESERVE_DIVISOR: usize = 100;

/// Completed step, kept as long as load reports cover it.
#[derive(Debug)]
struct CompletedStep {
    end_us: u64,
    duration_us: u64,
}

/// Model of one inference engine, advanced by the caller's clock.
#[derive(Debug)]
pub struct EngineModel {
    arrival_count: u64,
    engine_us_by_account: Vec<f64>,
    kv_cache: KvCache,
    preemption_count: u64,
    /// Steps that ended within `LOAD_WINDOW_US`.
    recent_steps: VecDeque<CompletedStep>,
    running: Vec<Sequence>,
    settings: EngineSettings,
    step_duration_us: u64,
    /// End of the current step; none while idle.
    step_end_us: Option<u64>,
    waiting: BTreeMap<SchedulingRank, Sequence>,
}

impl EngineModel {
    /// Builds an idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            arrival_count: 0,
            engine_us_by_account: Vec::new(),
            kv_cache: KvCache::new(settings.memory_blocks()),
            preemption_count: 0,
            recent_steps: VecDeque::new(),
            running: Vec::new(),
            settings,
            step_duration_us: 0,
            step_end_us: None,
            waiting: BTreeMap::new(),
        }
    }

    /// Engine time used so far, by account index.
    #[must_use]
    pub fn engine_us_by_account(&self) -> &[f64] {
        &self.engine_us_by_account
    }

    /// Runs all steps that end by `now_us` and appends their events.
    ///
    /// Call this before any other method that takes `now_us`.
    pub fn advance(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) {
        while let Some(end_us) = self.step_end_us.filter(|&end_us| end_us <= now_us) {
            self.finish_step(end_us, events);
            self.start_step(end_us, events);
        }
    }

    /// Cancels a generation; false if it is neither running nor waiting.
    pub fn cancel(&mut self, now_us: u64, id: GenerationId, events: &mut Vec<EngineEvent>) -> bool {
        let Some(sequence) = self.remove_running(id).or_else(|| self.remove_waiting(id)) else {
            return false;
        };
        events.push(ended_event(now_us, &sequence, EndReason::Cancelled));
        true
    }

    /// Drops all sequences and the KV cache, as a crash does; returns the ids of the sequences.
    pub fn reset(&mut self) -> Vec<GenerationId> {
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        self.kv_cache = KvCache::new(self.settings.memory_blocks());
        self.step_end_us = None;
        let sequences = running.iter().chain(waiting.values());
        sequences
            .map(|sequence| sequence.request.generation)
            .collect()
    }

    /// Load report at `now_us`.
    #[must_use]
    pub fn load(&self, now_us: u64) -> EndpointLoad {
        let since_us = now_us.saturating_sub(LOAD_WINDOW_US);
        let recent = || {
            self.recent_steps
                .iter()
                .filter(|step| step.end_us > since_us)
        };
        let total_us: u64 = recent().map(|step| step.duration_us).sum();
        EndpointLoad {
            memory_used_tokens: self.kv_cache.used_blocks() as u64
                * u64::from(self.settings.block_tokens),
            preemptions: self.preemption_count,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            token_interval_us: total_us / recent().count().max(1) as u64,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// End of the current step; none while idle.
    #[must_use]
    pub fn next_step_end_us(&self) -> Option<u64> {
        self.step_end_us
    }

    /// Queues a request; an idle engine starts it at once.
    ///
    /// # Errors
    ///
    /// When the prompt does not fit the KV cache. Nothing ran.
    pub fn submit(
        &mut self,
        now_us: u64,
        request: GenerationRequest,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), PromptTooLarge> {
        let blocks = (request.prompt_tokens + 1).div_ceil(self.settings.block_tokens) as usize;
        if blocks + self.reserve_blocks() > self.settings.memory_blocks() {
            return Err(PromptTooLarge);
        }
        self.arrival_count += 1;
        let sequence = Sequence {
            arrival_number: self.arrival_count,
            computed_tokens: 0,
            generated_tokens: 0,
            private_blocks: 0,
            request,
            scheduled_tokens: 0,
        };
        events.push(state_event(now_us, &sequence, SequenceState::Waiting));
        self.waiting.insert(sequence.rank(), sequence);
        if self.step_end_us.is_none() {
            self.start_step(now_us, events);
        }
        Ok(())
    }

    /// Takes the changes of the prefix cache since the last call.
    pub fn take_cache_update(&mut self) -> CacheUpdate {
        self.kv_cache.take_update()
    }

    fn admit_waiting(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) {
        while self.running.len() < self.settings.sequences_max as usize {
            let Some((_, sequence)) = self.waiting.first_key_value() else {
                return;
            };
            let hashes = &sequence.request.prefix_hashes;
            let hit_blocks =
                u32::try_from(self.kv_cache.cached_prefix_blocks(hashes)).unwrap_or(u32::MAX);
            let private = sequence.required_private_blocks(self.settings.block_tokens);
            let reserve_blocks = if self.running.is_empty() {
                0
            } else {
                self.reserve_blocks()
            };
            if !self.kv_cache.admit(hashes, private, reserve_blocks) {
                return;
            }
            let (_, mut sequence) = self.waiting.pop_first().expect("checked above");
            let hit_tokens = hit_blocks.saturating_mul(self.settings.block_tokens);
            sequence.computed_tokens = hit_tokens.min(sequence.context_tokens() - 1);
            sequence.private_blocks = private;
            events.push(state_event(now_us, &sequence, SequenceState::Prefill));
            self.running.push(sequence);
        }
    }

    /// Charges the step's time to the accounts of the sequences that it computed.
    fn charge_accounts(&mut self) {
        let scheduled = || {
            self.running
                .iter()
                .filter(|sequence| sequence.scheduled_tokens > 0)
        };
        let sequences = u32::try_from(scheduled().count()).unwrap_or(u32::MAX);
        let base_us = self.settings.base_step_us / f64::from(sequences.max(1));
        for sequence in scheduled() {
            let account = sequence.request.account;
            if account >= self.engine_us_by_account.len() {
                self.engine_us_by_account.resize(account + 1, 0.0);
            }
            let prefill = f64::from(sequence.scheduled_tokens - 1);
            let own_us = self
                .settings
                .work_us(1.0, prefill, f64::from(sequence.computed_tokens));
            self.engine_us_by_account[account] += base_us + own_us;
        }
    }

    fn finish_step(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) {
        self.charge_accounts();
        self.recent_steps.push_back(CompletedStep {
            end_us: now_us,
            duration_us: self.step_duration_us,
        });
        while self
            .recent_steps
            .front()
            .is_some_and(|step| step.end_us + LOAD_WINDOW_US < now_us)
        {
            self.recent_steps.pop_front();
        }
        for sequence in &mut self.running {
            sequence.computed_tokens += std::mem::take(&mut sequence.scheduled_tokens);
            if sequence.pending_tokens() > 0 {
                continue;
            }
            if sequence.generated_tokens == 0 {
                events.push(state_event(now_us, sequence, SequenceState::Running));
            }
            events.push(event(
                now_us,
                sequence,
                EngineEventKind::Token(sequence.generated_tokens),
            ));
            sequence.generated_tokens += 1;
        }
        for sequence in self
            .running
            .extract_if(.., |sequence| sequence.is_complete())
        {
            self.kv_cache
                .release(&sequence.request.prefix_hashes, sequence.private_blocks);
            events.push(ended_event(now_us, &sequence, EndReason::Stop));
        }
    }

    /// Allocates missing private blocks of running sequences; true if a sequence was preempted.
    fn allocate_decode_blocks(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) -> bool {
        let mut preempted = false;
        let block_tokens = self.settings.block_tokens;
        let lacks_blocks =
            |s: &&Sequence| s.private_blocks < s.required_private_blocks(block_tokens);
        let mut order: Vec<SchedulingRank> = self
            .running
            .iter()
            .filter(lacks_blocks)
            .map(Sequence::rank)
            .collect();
        order.sort_unstable();
        for rank in order {
            while let Some(sequence) = self.running.iter_mut().find(|s| s.rank() == rank) {
                if self.kv_cache.allocate_private_block() {
                    sequence.private_blocks += 1;
                    break;
                }
                self.preempt_lowest_rank(now_us, events);
                preempted = true;
            }
        }
        preempted
    }

    fn preempt_lowest_rank(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) {
        let lowest = self.running.iter().max_by_key(|sequence| sequence.rank());
        let lowest = lowest
            .expect("a sequence that needs a block is running")
            .request
            .generation;
        let mut sequence = self.remove_running(lowest).expect("found above");
        if self.running.is_empty() {
            events.push(ended_event(now_us, &sequence, EndReason::Length));
            return;
        }
        self.preemption_count += 1;
        sequence.computed_tokens = 0;
        sequence.private_blocks = 0;
        events.push(state_event(now_us, &sequence, SequenceState::Preempted));
        self.waiting.insert(sequence.rank(), sequence);
    }

    fn remove_running(&mut self, id: GenerationId) -> Option<Sequence> {
        let position = self
            .running
            .iter()
            .position(|s| s.request.generation == id)?;
        let sequence = self.running.remove(position);
        self.kv_cache
            .release(&sequence.request.prefix_hashes, sequence.private_blocks);
        Some(sequence)
    }

    fn remove_waiting(&mut self, id: GenerationId) -> Option<Sequence> {
        let mut waiting = self.waiting.iter();
        let rank = *waiting
            .find(|(_, sequence)| sequence.request.generation == id)?
            .0;
        self.waiting.remove(&rank)
    }

    fn reserve_blocks(&self) -> usize {
        self.settings.memory_blocks() / ADMISSION_RESERVE_DIVISOR
    }

    /// Distributes the step's token budget, decode before prefill; returns the step's time in µs.
    fn schedule_tokens(&mut self) -> f64 {
        let (mut resident, mut sequences, mut prefill) = (0.0, 0, 0);
        for sequence in &mut self.running {
            resident += f64::from(sequence.computed_tokens);
            sequence.scheduled_tokens = u32::from(sequence.is_decoding());
            sequences += sequence.scheduled_tokens;
        }
        let mut budget = self.settings.step_tokens_max.saturating_sub(sequences);
        let not_decoding = self
            .running
            .iter_mut()
            .filter(|sequence| sequence.scheduled_tokens == 0);
        let mut pending: Vec<&mut Sequence> = not_decoding.collect();
        pending.sort_unstable_by_key(|sequence| sequence.rank());
        for sequence in pending {
            sequence.scheduled_tokens = sequence.pending_tokens().min(budget);
            budget -= sequence.scheduled_tokens;
            prefill += sequence.scheduled_tokens;
            sequences += u32::from(sequence.scheduled_tokens > 0);
        }
        self.settings
            .step_duration_us(f64::from(sequences), f64::from(prefill), resident)
    }

    fn start_step(&mut self, now_us: u64, events: &mut Vec<EngineEvent>) {
        if !self.allocate_decode_blocks(now_us, events) || self.running.is_empty() {
            self.admit_waiting(now_us, events);
        }
        if self.running.is_empty() {
            assert!(
                self.waiting.is_empty(),
                "an engine without running sequences admits any queued request"
            );
            self.step_end_us = None;
            return;
        }
        let step_duration_us = self.schedule_tokens().max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a step's time is positive and far below 2^53 µs"
        )]
        let step_duration_us = step_duration_us as u64;
        self.step_duration_us = step_duration_us;
        self.step_end_us = Some(now_us + step_duration_us);
    }
}

fn ended_event(at_us: u64, sequence: &Sequence, end: EndReason) -> EngineEvent {
    event(at_us, sequence, EngineEventKind::Ended(end))
}

fn event(at_us: u64, sequence: &Sequence, kind: EngineEventKind) -> EngineEvent {
    EngineEvent {
        at_us,
        generation: sequence.request.generation,
        kind,
    }
}

fn state_event(at_us: u64, sequence: &Sequence, state: SequenceState) -> EngineEvent {
    event(at_us, sequence, EngineEventKind::State(state))
}
