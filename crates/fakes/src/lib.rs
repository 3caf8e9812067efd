//! Development stand-ins: engine, booking service, experiments.
//!
//! Nothing here is part of the shipped binary.

pub mod engine;
