//! Decides who gets engine time, where and how much.
//!
//! The core is a state machine: events and the current time go in, actions come out. It holds no
//! clock, socket, task or unordered collection, so that the same events give the same actions.

mod action;
mod dispatcher;
mod endpoint;
mod event;
mod fair_queue;
mod forecast;
mod lengths;
mod number;
mod pace;
mod permit;
mod policy;
mod prediction;
mod prefix;
mod row;
mod settings;
mod survival;
mod token_bucket;
mod work;

pub use action::{Action, RefusalReason};
pub use dispatcher::{Dispatcher, RowUsage};
pub use event::{
    CustomerIndex, Demand, EndpointLoad, EndpointProfile, Event, KindIndex, ModelIndex, PermitEnd,
    RegionIndex, RowLimits,
};
pub use lengths::{LengthEstimator, LengthObservation, LengthStats};
pub use permit::{ActivePermit, ReportedPermit};
pub use policy::Policy;
pub use prediction::LengthPrediction;
pub use settings::Settings;
