//! What the entry asks of the rest of the system, as traits that the binary implements.

mod claims;
mod directory;
mod observer;
mod permits;

use std::sync::Arc;

pub use claims::{ClaimError, ClaimRequest, Claimed, Claims, StoredAnswer, StoredHeader};
pub use directory::{Directory, Row, Work};
pub use observer::{ClassObserver, Observer};
pub use permits::{End, Permit, PermitRequest, Permits, Refusal, RefusalReason, Target};

/// The neighbours of one entry.
#[derive(Clone)]
pub struct Border {
    /// Keeps at-most-once claims.
    pub claims: Arc<dyn Claims>,
    /// Knows customers, rows, models and the configuration lease.
    pub directory: Arc<dyn Directory>,
    /// Takes measurements.
    pub observer: Arc<dyn Observer>,
    /// Grants permits to run.
    pub permits: Arc<dyn Permits>,
}
