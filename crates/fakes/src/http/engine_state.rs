use std::collections::BTreeMap;

use names::GenerationId;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::answer::{generation_tag, hash_bytes, prompt_tag};
use crate::engine::{EndReason, EngineModel, Job, Output, OutputKind, SequenceState};

const BYTES_PER_TOKEN: usize = 4;

/// How many tokens generations have before their own end.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum LengthRule {
    /// All the same.
    Fixed(u32),
    /// Heavy-tailed, by the number of the generation: half of them below `median`.
    Spread {
        /// Half of the generations are shorter.
        median: u32,
    },
}

/// What the engine was ordered to serve, as `GET /state` tells it.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct EngineOrders {
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
pub struct LedgerEntry {
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
#[derive(Debug, Clone, Deserialize)]
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
pub(crate) struct Generation {
    pub(crate) max_tokens: u32,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) prompt: String,
}

/// Outcome of a start.
#[derive(Debug)]
pub(crate) enum Started {
    /// The number was cancelled before.
    CancelledBefore,
    /// The number is in use.
    InUse,
    /// The engine has no room.
    NoRoom,
    /// Runs.
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
    pub(crate) cancelled: Vec<GenerationId>,
    pub(crate) generations: BTreeMap<GenerationId, Generation>,
    pub(crate) length: LengthRule,
    pub(crate) model: EngineModel,
    pub(crate) orders: EngineOrders,
    block_bytes: usize,
    outputs: Vec<Output>,
}

impl EngineState {
    pub(crate) fn new(
        model: EngineModel,
        block_tokens: u32,
        length: LengthRule,
        orders: EngineOrders,
    ) -> Self {
        Self {
            block_bytes: block_tokens as usize * BYTES_PER_TOKEN,
            cancelled: Vec::new(),
            generations: BTreeMap::new(),
            length,
            model,
            orders,
            outputs: Vec::new(),
        }
    }

    pub(crate) fn advance(&mut self, now_us: u64) {
        self.model.advance(now_us, &mut self.outputs);
        self.publish();
    }

    /// Cancels and buries the number; false if it was never started here.
    pub(crate) fn cancel(&mut self, now_us: u64, id: GenerationId) -> bool {
        if let Err(position) = self.cancelled.binary_search(&id) {
            self.cancelled.insert(position, id);
        }
        self.advance(now_us);
        self.model.cancel(now_us, id, &mut self.outputs);
        self.publish();
        self.generations.contains_key(&id)
    }

    pub(crate) fn ledger(&self) -> Vec<LedgerEntry> {
        self.generations
            .iter()
            .map(|(id, generation)| entry(*id, generation))
            .collect()
    }

    pub(crate) fn start(&mut self, now_us: u64, id: GenerationId, start: Start) -> Started {
        if self.cancelled.binary_search(&id).is_ok() {
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
        let state = SequenceState::Waiting;
        let (progress, _) = watch::channel(Progress {
            end: None,
            state,
            tokens: 0,
        });
        let generation = Generation {
            max_tokens: start.max_tokens,
            progress,
            prompt: start.prompt,
        };
        self.generations.insert(id, generation);
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

    fn job(&self, id: GenerationId, start: &Start) -> Job {
        let prompt_tokens = start.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
        Job {
            account: 0,
            generation: id,
            length_tokens: self.length.tokens(id).min(start.max_tokens).max(1),
            prefix_hashes: prefix_hashes(&start.prompt, self.block_bytes),
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
                    OutputKind::Ended {
                        end: EndReason::Stop,
                        tokens,
                    } if tokens >= max_tokens => {
                        progress.end = Some(EndReason::Length);
                    }
                    OutputKind::Ended { end, .. } => progress.end = Some(end),
                    OutputKind::State(state) => progress.state = state,
                    OutputKind::Token { index } => progress.tokens = index + 1,
                });
        }
    }
}

impl LengthRule {
    fn tokens(self, id: GenerationId) -> u32 {
        match self {
            Self::Fixed(tokens) => tokens,
            Self::Spread { median } => {
                let draw = hash_bytes(&id.0.to_le_bytes()) % 1000;
                let share = median.saturating_mul(500);
                share / u32::try_from(1000 - draw).unwrap_or(1)
            }
        }
    }
}

/// Hashes of the whole blocks of a prompt; each covers the prompt up to its block's end.
fn prefix_hashes(prompt: &str, block_bytes: usize) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / block_bytes)
        .map(|n| hash_bytes(&bytes[..n * block_bytes]))
        .collect()
}

fn entry(id: GenerationId, generation: &Generation) -> LedgerEntry {
    let progress = *generation.progress.borrow();
    LedgerEntry {
        end: progress.end,
        generation: id,
        generation_tag: generation_tag(id),
        prompt: generation.prompt.clone(),
        tokens: progress.tokens,
    }
}
