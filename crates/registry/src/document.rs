use std::fmt::Debug;

use catalog::Catalog;
use serde::{Deserialize, Serialize};

/// Configuration document with its version, as accepted from an operator.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Encoded document; empty before the first one is accepted.
    pub bytes: Vec<u8>,
    /// Version; the document with the highest version is in force.
    pub version: u64,
}

/// Decodes configuration documents in the operators' format.
pub trait DocumentDecoder: Debug + Send + Sync {
    /// Decodes and validates a document.
    ///
    /// # Errors
    ///
    /// Describes why the document gives no catalog.
    fn decode(&self, bytes: &[u8]) -> Result<Catalog, String>;
}
