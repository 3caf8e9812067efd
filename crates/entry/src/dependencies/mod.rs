//! What the entry asks of the rest of the system, as traits that the binary implements.

mod claims;
mod directory;
mod observer;
mod permits;

use std::sync::Arc;

pub use claims::{
    ClaimError, ClaimRequest, ClaimResponse, ClaimStore, StoredHeader, StoredResponse,
};
pub use directory::{Directory, RowLimits, TargetRef};
pub use observer::{ClassObserver, Observer};
pub use permits::{Permit, PermitEnd, PermitRequest, PermitSource, Refusal, RefusalReason, Target};

/// The neighbours of one entry.
#[derive(Clone)]
pub struct Dependencies {
    /// Keeps at-most-once claims.
    pub claims: Arc<dyn ClaimStore>,
    /// Knows customers, rows, models and the configuration lease.
    pub directory: Arc<dyn Directory>,
    /// Takes measurements.
    pub observer: Arc<dyn Observer>,
    /// Grants permits to run.
    pub permits: Arc<dyn PermitSource>,
}
