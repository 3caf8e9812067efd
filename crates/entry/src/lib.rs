//! HTTP entry point for clients: requests, token streams, retries and outcomes.
//!
//! The decisions are in `core`, which does no I/O: it takes events and the current time and
//! returns actions. The other modules drive it with sockets and timers, one task per request.
//! [`dependencies`] defines the traits that the binary implements for the entry.

pub mod core;
pub mod dependencies;
mod entry;
mod error;
mod http;
mod settings;

pub use entry::Entry;
pub use error::Error;
pub use settings::{Limits, Settings};
