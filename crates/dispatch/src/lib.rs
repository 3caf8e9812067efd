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
pub use dispatcher::{Dispatcher, Usage};
pub use event::{
    CustomerIndex, Demand, End, Event, KindIndex, Limits, ModelIndex, Profile, RegionIndex, Report,
};
pub use lengths::{Lengths, Observation, RowLengths};
pub use permit::{HeldPermit, PermitView};
pub use policy::Policy;
pub use prediction::Prediction;
pub use settings::Settings;
