//! Decides who gets engine time, where and how much.
//!
//! The core is a state machine: events and the current time go in, actions come out. It holds no
//! clock, socket, task or unordered collection, so that the same events give the same actions.

mod action;
mod event;
mod policy;

pub use action::{Action, RefusalReason};
pub use event::{
    CustomerIndex, Demand, End, Event, KindIndex, Limits, ModelIndex, Profile, RegionIndex, Report,
};
pub use policy::Policy;
