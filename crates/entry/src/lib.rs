//! Serves callers: HTTP, streams, retries, outcomes.
//!
//! The decisions are in `core`, which is pure: events and the current time go in, actions come
//! out. The other modules drive it with sockets and timers, one task for each request. What the
//! entry needs from the rest of the system stands as traits in [`border`].

pub mod border;
pub mod core;
mod entry;
mod error;
mod http;
mod settings;

pub use entry::Entry;
pub use error::Error;
pub use settings::{Limits, Settings};
