//! Development stand-ins: engine, booking service, experiments.
//!
//! Nothing here is part of the shipped binary. `engine` models an inference engine without I/O;
//! `http` puts it, and a booking service, behind the interfaces that endpoints speak; `answer`
//! writes and checks texts in which a lost, doubled or foreign token shows; `experiment` and `baselines` measure dispatch policies.

pub mod answer;
pub mod baselines;
pub mod engine;
pub mod experiment;
pub mod http;
