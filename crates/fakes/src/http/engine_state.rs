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

const BYTES_PER_TOKEN: usize = 4;

/// How many tokens generations have before their own end.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum GenerationLength {
    /// All the same.
    Fixed(u32),
    /// Heavy-tailed, by the number of the generation: half of them below `median_tokens`.
    HeavyTailed {
        /// Half of the generations are shorter.
        median_tokens: u32,
    },
}

/// What the engine was ordered to serve, as `GET /state` tells it.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct EngineConfiguration {
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Highest fencing number taken.
    pub fencing: u64,
    /// Name of the model.
    pub model: String,
    /// `both`, `prefill` or `decode`.
    pub role: String,
    /// Version of the model.
    pub version: String,
}

/// One generation that ran.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct GenerationRecord {
    /// Why it ended; none while it runs.
    pub end: Option<EndReason>,
    /// Its number.
    pub generation: GenerationId,
    /// Tag by which its tokens name it.
    pub generation_tag: u32,
    /// Its prompt.
    pub prompt: String,
    /// Tokens generated.
    pub tokens: u32,
}

/// Body of a start.
#[derive(Debug, Deserialize)]
pub(crate) struct Start {
    pub(crate) max_tokens: u32,
    pub(crate) model: String,
    pub(crate) priority: i32,
    pub(crate) prompt: String,
}

/// How far a generation is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) end: Option<EndReason>,
    pub(crate) state: SequenceState,
    pub(crate) tokens: u32,
}

#[derive(Debug)]
struct Generation {
    max_tokens: u32,
    progress: watch::Sender<Progress>,
    prompt: String,
}

/// Outcome of a start.
#[derive(Debug)]
pub(crate) enum Started {
    CancelledBefore,
    InUse,
    NoRoom,
    Running(Watched),
}

/// What a stream needs to know about its generation.
#[derive(Debug)]
pub(crate) struct Watched {
    pub(crate) generation: GenerationId,
    pub(crate) generation_tag: u32,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) prompt_tag: u32,
}

/// Generations of one engine. Those that ended are kept, for resumes and the ledger.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) orders: EngineConfiguration,
    block_bytes: usize,
    cancelled: BTreeSet<GenerationId>,
    generations: BTreeMap<GenerationId, Generation>,
    length: GenerationLength,
    /// Number of the next change of the prefix cache.
    news_sequence: u64,
    outputs: Vec<EngineEvent>,
    reports: VecDeque<(u64, EndpointLoad)>,
}

impl EngineState {
    pub(crate) fn new(model: EngineModel, block_tokens: u32, length: GenerationLength) -> Self {
        Self {
            block_bytes: block_tokens as usize * BYTES_PER_TOKEN,
            cancelled: BTreeSet::new(),
            generations: BTreeMap::new(),
            length,
            model,
            news_sequence: 0,
            orders: EngineConfiguration::default(),
            outputs: Vec::new(),
            reports: VecDeque::new(),
        }
    }

    pub(crate) fn advance(&mut self, now_us: u64) {
        self.model.advance(now_us, &mut self.outputs);
        self.publish();
    }

    /// News of the prefix cache since the last call.
    pub(crate) fn cache(&mut self) -> Value {
        let CacheUpdate { added, evicted } = self.model.take_cache_update();
        let first_sequence = self.news_sequence;
        self.news_sequence += (added.len() + evicted.len()) as u64;
        if first_sequence == self.news_sequence {
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

    /// Cancels, and refuses the number from now on; false if it was never started here.
    pub(crate) fn cancel(&mut self, now_us: u64, id: GenerationId) -> bool {
        self.cancelled.insert(id);
        self.advance(now_us);
        self.model.cancel(now_us, id, &mut self.outputs);
        self.publish();
        self.generations.contains_key(&id)
    }

    pub(crate) fn ledger(&self) -> Vec<GenerationRecord> {
        self.generations
            .iter()
            .map(|(id, generation)| generation.entry(*id))
            .collect()
    }

    /// The newest load report that is as old as the lag.
    pub(crate) fn report(&mut self, now_us: u64, lag_us: u64) -> Value {
        self.advance(now_us);
        self.reports.push_back((now_us, self.model.load(now_us)));
        let old = |entry: &(u64, EndpointLoad)| entry.0 + lag_us <= now_us;
        while self.reports.get(1).is_some_and(old) {
            self.reports.pop_front();
        }
        let Some((at_us, report)) = self.reports.front().filter(|entry| old(entry)) else {
            return Value::Null;
        };
        json!({
            "age_ms": (now_us - at_us) / 1000,
            "memory_used_tokens": report.memory_used_tokens,
            "preemptions": report.preemptions,
            "running": report.running,
            "token_interval_us": report.token_interval_us,
            "waiting": report.waiting,
        })
    }

    pub(crate) fn start(&mut self, now_us: u64, id: GenerationId, start: Start) -> Started {
        if self.cancelled.contains(&id) {
            return Started::CancelledBefore;
        }
        if self.generations.contains_key(&id) {
            return Started::InUse;
        }
        self.advance(now_us);
        let job = self.job(id, &start);
        if self.model.submit(now_us, job, &mut self.outputs).is_err() {
            return Started::NoRoom;
        }
        let progress = Progress {
            end: None,
            state: SequenceState::Waiting,
            tokens: 0,
        };
        let Start {
            max_tokens, prompt, ..
        } = start;
        let (progress, _) = watch::channel(progress);
        self.generations.insert(
            id,
            Generation {
                max_tokens,
                progress,
                prompt,
            },
        );
        self.publish();
        Started::Running(self.watch(id).expect("inserted above"))
    }

    pub(crate) fn watch(&self, id: GenerationId) -> Option<Watched> {
        self.generations.get(&id).map(|generation| Watched {
            generation: id,
            generation_tag: generation_tag(id),
            progress: generation.progress.subscribe(),
            prompt_tag: prompt_tag(&generation.prompt),
        })
    }

    fn job(&self, id: GenerationId, start: &Start) -> GenerationRequest {
        let prompt = start.prompt.as_bytes();
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
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

    fn publish(&mut self) {
        for output in self.outputs.drain(..) {
            let Some(generation) = self.generations.get(&output.generation) else {
                continue;
            };
            let max_tokens = generation.max_tokens;
            generation
                .progress
                .send_modify(|progress| match output.kind {
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

impl Generation {
    fn entry(&self, id: GenerationId) -> GenerationRecord {
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
                let draw = hash_bytes(&id.0.to_le_bytes()) % 1000;
                median_tokens.saturating_mul(500) / u32::try_from(1000 - draw).unwrap_or(1)
            }
        }
    }
}
