//! Model of an inference engine, without I/O.
//!
//! The engine runs in steps. Each step computes one token for every decoding sequence and spends
//! the rest of a token budget on prefill (chunked prefill). The KV cache has a limited number of
//! blocks. When a decoding sequence finds no free block, the sequence with the lowest priority and
//! the latest arrival is preempted and later recomputed. Whole prompt blocks are shared through a
//! prefix cache, which keeps unreferenced blocks until their memory is needed.
//!
//! Maps are `BTreeMap`: queues and caches have thousands of entries and change at every step.

mod event;
mod kv_cache;
mod model;
mod sequence;
mod settings;

pub use event::{EndReason, EngineEvent, EngineEventKind, PromptTooLarge, SequenceState};
pub use kv_cache::CacheUpdate;
pub use model::EngineModel;
pub use sequence::GenerationRequest;
pub use settings::EngineSettings;
