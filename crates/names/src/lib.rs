//! Names and numbers that identify the parts of a deployment, and the clock of its log.
//!
//! Every name is a validated, bounded string: it may hold letters of any script, digits, `.`, `_`,
//! `-` and inner spaces, and never control characters. Numbers are plain newtypes, so that one kind
//! of identifier cannot stand in for another.

mod error;
mod generation_id;
mod log_clock;
mod name;
mod number;
mod percent;

pub use error::Error;
pub use generation_id::GenerationId;
pub use log_clock::{CLOCK_STEP_MS_MAX, LogClock};
pub use name::{
    CustomerName, DataCentreName, EndpointName, InstanceName, KindName, ModelName, NAME_BYTES_MAX,
    RegionName, ServiceName,
};
pub use number::{EndpointId, Epoch, Incarnation, LogIndex, PermitId, RequestId};
pub use percent::percent_decode;
