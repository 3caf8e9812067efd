//! Measures dispatch policies side by side on the same load.
//!
//! One event queue drives the real decision core, models of the engines, and callers drawn from a
//! load file. Nothing depends on the clock of the machine: a load, a scenario and a seed give the
//! same figures each time. Definitions of the figures are in `docs/EXPERIMENTS.md`.

mod capacity;
mod columns;
mod comparison;
mod draw;
mod load_file;
mod metrics;
mod plot;
mod queue;
mod report;
mod scenario;
mod simulation;
mod sites;
mod workload;

pub use capacity::Capacity;
pub use load_file::LoadFile;
pub use report::{Report, RunSummary};
pub use scenario::{Scenario, UnknownFault};
pub use simulation::run;
