//! Development only: fake engine, fake booking service and experiments with dispatch policies.
//!
//! Nothing here is part of the shipped binary. `engine` models an inference engine without I/O.
//! `http` serves the engine model and a booking service over the endpoint protocol. `answer` writes
//! token texts that show a lost, repeated or foreign token, and checks them. `experiment` measures
//! dispatch policies; `baselines` has the policies that it compares with.

pub mod answer;
pub mod baselines;
pub mod engine;
pub mod experiment;
pub mod http;
