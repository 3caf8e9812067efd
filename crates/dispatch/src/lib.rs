//! Schedules requests on engines: which request runs next, on which endpoint, and which is refused.
//!
//! The scheduler is a state machine. Its input is events and the current time, its output is
//! actions. It has no clock, socket, task or unordered collection, so it is deterministic: the same
//! events give the same actions.

mod action;
mod dispatcher;
mod endpoint;
mod event;
mod fair_queue;
mod forecast;
mod length_estimator;
mod length_histogram;
mod length_prediction;
mod number;
mod permit;
mod policy;
mod prefix_index;
mod request_spec;
mod row;
mod settings;
mod token_bucket;
mod virtual_time_rate;

pub use action::{Action, RefusalReason};
pub use dispatcher::{Dispatcher, RowUsage};
pub use event::{
    CustomerIndex, Demand, EndpointLoad, EndpointProfile, Event, KindIndex, ModelIndex, PermitEnd,
    RegionIndex, RowLimits,
};
pub use length_estimator::{LengthEstimator, LengthObservation, LengthStats};
pub use length_prediction::LengthPrediction;
pub use permit::{ActivePermit, ReportedPermit};
pub use policy::Policy;
pub use settings::Settings;
