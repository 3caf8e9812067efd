use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dispatch::EndpointLoad;
use names::GenerationId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::answer::{generation_tag, hash_bytes, prompt_tag};
use crate::engine::{
    CacheUpdate, EndReason, EngineEvent, EngineEventKind, EngineModel, GenerationRequest,
    SequenceState,
};

const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Number of tokens that a generation has if neither `max_tokens` nor a cancel ends it earlier.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationLength {
    /// The same for all generations.
    Fixed(u32),
    /// Heavy-tailed, drawn by a hash of the generation's id.
    HeavyTailed {
        /// Median of the distribution.
        median_tokens: u32,
    },
}

/// What the engine serves, as in the response to `GET /state`.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct EngineConfiguration {
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Highest fencing number of an accepted order.
    pub fencing: u64,
    /// Name of the model.
    pub model: String,
    /// `both`, `prefill` or `decode`.
    pub role: String,
    /// Version of the model.
    pub version: String,
}

/// One generation that was started, as in the response to `GET /ledger`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct GenerationRecord {
    /// Why the generation ended; none while it runs.
    pub end: Option<EndReason>,
    /// Id of the generation.
    pub generation: GenerationId,
    /// Tag of the generation in the text of its tokens.
    pub generation_tag: u32,
    /// Prompt of the generation.
    pub prompt: String,
    /// Number of tokens generated so far.
    pub tokens: u32,
}

/// Body of `POST /generations/{generation}`.
#[derive(Debug, Deserialize)]
pub(crate) struct StartRequest {
    pub(crate) max_tokens: u32,
    pub(crate) model: String,
    pub(crate) priority: i32,
    pub(crate) prompt: String,
}

/// State and length of a generation, as its streams see it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GenerationProgress {
    pub(crate) end: Option<EndReason>,
    pub(crate) state: SequenceState,
    pub(crate) tokens: u32,
}

/// Generation that the engine has accepted.
#[derive(Debug)]
struct GenerationEntry {
    max_tokens: u32,
    progress: watch::Sender<GenerationProgress>,
    prompt: String,
}

/// Outcome of a request to start a generation.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// The id was cancelled before this request.
    CancelledBefore,
    IdInUse,
    PromptTooLarge,
    Started(GenerationWatch),
}

/// Subscription of a stream to the progress of a generation.
#[derive(Debug)]
pub(crate) struct GenerationWatch {
    pub(crate) generation: GenerationId,
    pub(crate) generation_tag: u32,
    pub(crate) progress: watch::Receiver<GenerationProgress>,
    pub(crate) prompt_tag: u32,
}

/// Engine model and generations of one fake engine.
///
/// Ended generations are kept for resumed streams and the ledger.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) configuration: EngineConfiguration,
    block_bytes: usize,
    cancelled: BTreeSet<GenerationId>,
    events: Vec<EngineEvent>,
    generations: BTreeMap<GenerationId, GenerationEntry>,
    length: GenerationLength,
    /// Load reports with their times: the newest one as old as the lag, and all after it.
    load_reports: VecDeque<(u64, EndpointLoad)>,
    /// Sequence number of the next change of the prefix cache.
    next_update_sequence: u64,
}

impl EngineState {
    pub(crate) fn new(model: EngineModel, block_tokens: u32, length: GenerationLength) -> Self {
        Self {
            block_bytes: block_tokens as usize * PROMPT_BYTES_PER_TOKEN,
            cancelled: BTreeSet::new(),
            configuration: EngineConfiguration::default(),
            events: Vec::new(),
            generations: BTreeMap::new(),
            length,
            load_reports: VecDeque::new(),
            model,
            next_update_sequence: 0,
        }
    }

    pub(crate) fn advance(&mut self, now_us: u64) {
        self.model.advance(now_us, &mut self.events);
        self.publish_progress();
    }

    /// Changes of the prefix cache since the last call, as announced.
    pub(crate) fn cache_update(&mut self) -> Value {
        let CacheUpdate { added, evicted } = self.model.take_cache_update();
        let first_sequence = self.next_update_sequence;
        self.next_update_sequence += (added.len() + evicted.len()) as u64;
        if first_sequence == self.next_update_sequence {
            return Value::Null;
        }
        let hexadecimal = |hashes: &[u64]| -> Vec<String> {
            hashes.iter().map(|hash| format!("{hash:016x}")).collect()
        };
        json!({
            "added": hexadecimal(&added),
            "evicted": hexadecimal(&evicted),
            "first_sequence": first_sequence,
        })
    }

    /// Cancels a generation and rejects later starts with its id; false if it was never started.
    pub(crate) fn cancel(&mut self, now_us: u64, id: GenerationId) -> bool {
        self.cancelled.insert(id);
        self.advance(now_us);
        self.model.cancel(now_us, id, &mut self.events);
        self.publish_progress();
        self.generations.contains_key(&id)
    }

    pub(crate) fn ledger(&self) -> Vec<GenerationRecord> {
        self.generations
            .iter()
            .map(|(id, entry)| entry.record(*id))
            .collect()
    }

    /// The newest load report that is at least as old as the lag.
    pub(crate) fn load_report(&mut self, now_us: u64, lag_us: u64) -> Value {
        self.advance(now_us);
        self.load_reports
            .push_back((now_us, self.model.load(now_us)));
        let is_due = |report: &(u64, EndpointLoad)| report.0 + lag_us <= now_us;
        while self.load_reports.get(1).is_some_and(is_due) {
            self.load_reports.pop_front();
        }
        let due = self.load_reports.front().filter(|report| is_due(report));
        let Some((at_us, load)) = due else {
            return Value::Null;
        };
        json!({
            "age_ms": (now_us - at_us) / 1000,
            "memory_used_tokens": load.memory_used_tokens,
            "preemptions": load.preemptions,
            "running": load.running,
            "token_interval_us": load.token_interval_us,
            "waiting": load.waiting,
        })
    }

    pub(crate) fn start(
        &mut self,
        now_us: u64,
        id: GenerationId,
        start: StartRequest,
    ) -> StartOutcome {
        if self.cancelled.contains(&id) {
            return StartOutcome::CancelledBefore;
        }
        if self.generations.contains_key(&id) {
            return StartOutcome::IdInUse;
        }
        self.advance(now_us);
        let request = self.generation_request(id, &start);
        if self
            .model
            .submit(now_us, request, &mut self.events)
            .is_err()
        {
            return StartOutcome::PromptTooLarge;
        }
        let progress = GenerationProgress {
            end: None,
            state: SequenceState::Waiting,
            tokens: 0,
        };
        let StartRequest {
            max_tokens, prompt, ..
        } = start;
        let (progress, _) = watch::channel(progress);
        self.generations.insert(
            id,
            GenerationEntry {
                max_tokens,
                progress,
                prompt,
            },
        );
        self.publish_progress();
        StartOutcome::Started(self.watch(id).expect("inserted above"))
    }

    pub(crate) fn watch(&self, id: GenerationId) -> Option<GenerationWatch> {
        self.generations.get(&id).map(|entry| GenerationWatch {
            generation: id,
            generation_tag: generation_tag(id),
            progress: entry.progress.subscribe(),
            prompt_tag: prompt_tag(&entry.prompt),
        })
    }

    fn generation_request(&self, id: GenerationId, start: &StartRequest) -> GenerationRequest {
        let prompt = start.prompt.as_bytes();
        let prompt_tokens = prompt.len().div_ceil(PROMPT_BYTES_PER_TOKEN).max(1);
        let blocks = prompt.len() / self.block_bytes;
        let prefix = |block: usize| &prompt[..block * self.block_bytes];
        GenerationRequest {
            account: 0,
            generation: id,
            length_tokens: self.length.tokens(id).min(start.max_tokens).max(1),
            prefix_hashes: (1..=blocks)
                .map(|block| hash_bytes(prefix(block)))
                .collect(),
            priority: start.priority,
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX / 2),
        }
    }

    fn publish_progress(&mut self) {
        for event in self.events.drain(..) {
            let Some(entry) = self.generations.get(&event.generation) else {
                continue;
            };
            let max_tokens = entry.max_tokens;
            entry.progress.send_modify(|progress| match event.kind {
                EngineEventKind::Ended(EndReason::Stop) if progress.tokens >= max_tokens => {
                    progress.end = Some(EndReason::Length);
                }
                EngineEventKind::Ended(end) => progress.end = Some(end),
                EngineEventKind::State(state) => progress.state = state,
                EngineEventKind::Token(index) => progress.tokens = index + 1,
            });
        }
    }
}

impl GenerationEntry {
    fn record(&self, id: GenerationId) -> GenerationRecord {
        let progress = *self.progress.borrow();
        GenerationRecord {
            end: progress.end,
            generation: id,
            generation_tag: generation_tag(id),
            prompt: self.prompt.clone(),
            tokens: progress.tokens,
        }
    }
}

impl GenerationLength {
    fn tokens(self, id: GenerationId) -> u32 {
        match self {
            Self::Fixed(tokens) => tokens,
            Self::HeavyTailed { median_tokens } => {
                let permille = hash_bytes(&id.0.to_le_bytes()) % 1000;
                median_tokens.saturating_mul(500) / u32::try_from(1000 - permille).unwrap_or(1)
            }
        }
    }
}
