use thiserror::Error;

/// Why a snapshot could not be restored.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes do not decode.
    #[error("snapshot of the orders does not decode: {source}")]
    SnapshotDecode {
        /// What the decoder said.
        source: postcard::Error,
    },
}
