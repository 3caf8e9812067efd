//! Model of an inference engine, without I/O.
//!
//! The engine runs in steps. Each step computes one token for every decoding sequence and spends
//! what is left of a token budget on prefill (chunked prefill). Keys and values live in blocks of
//! a limited memory; when a decoding sequence finds no block, the sequence with the lowest priority
//! and the latest arrival is preempted and later recomputed. Whole prompt blocks are shared through
//! a prefix cache that keeps unreferenced blocks until their memory is needed.
//!
//! Maps are `BTreeMap`: queues and caches hold thousands of entries and change at every step.

mod memory;
mod model;
mod output;
mod sequence;
mod settings;

pub use memory::CacheUpdate;
pub use model::EngineModel;
pub use output::{EndReason, EngineEvent, EngineEventKind, PromptTooLarge, SequenceState};
pub use sequence::GenerationRequest;
pub use settings::EngineSettings;
