//! Names and numeric identifiers of a deployment, and the clock of its replicated log.
//!
//! Names are validated strings of limited length. They consist of letters of any script, digits, `.`,
//! `_`, `-` and inner spaces. Numbers are newtypes, so the compiler rejects an identifier of the
//! wrong kind.

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
