//! Measures dispatch policies side by side on the same load.
//!
//! A discrete-event simulation runs the real dispatcher or a baseline, engine models, and clients
//! generated from a load file. Nothing depends on the clock of the machine: a load, a scenario and
//! a seed always give the same results. The columns are defined in `docs/EXPERIMENTS.md`.

mod capacity;
mod columns;
mod comparison;
mod endpoints;
mod event_queue;
mod load_file;
mod metrics;
mod plot;
mod random;
mod report;
mod scenario;
mod simulation;
mod workload;

pub use capacity::Capacity;
pub use load_file::LoadFile;
pub use report::{Report, RunSummary};
pub use scenario::{Scenario, UnknownFault};
pub use simulation::simulate;
