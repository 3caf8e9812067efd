//! Traits through which the entry uses the rest of the system; the binary implements them.

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

/// Implementations of the traits that an entry uses.
#[derive(Clone)]
pub struct Dependencies {
    /// Stores at-most-once claims.
    pub claims: Arc<dyn ClaimStore>,
    /// Looks up customers, rows, models and the configuration lease.
    pub directory: Arc<dyn Directory>,
    /// Records metrics.
    pub observer: Arc<dyn Observer>,
    /// Grants permits to use endpoints.
    pub permits: Arc<dyn PermitSource>,
}
