use thiserror::Error;

/// Why a snapshot could not be restored.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes cannot be decoded.
    #[error("snapshot of the orders cannot be decoded: {source}")]
    SnapshotDecode {
        /// The decoding error.
        source: postcard::Error,
    },
}
