use thiserror::Error;

use crate::IDEMPOTENCY_KEY_BYTES_MAX;

/// Why an idempotency key or snapshot is invalid.
#[derive(Debug, Error)]
pub enum Error {
    /// An idempotency key has a character other than visible ASCII.
    #[error("idempotency key holds a character other than visible ASCII")]
    KeyCharacter,
    /// An idempotency key is empty or too long.
    #[error(
        "idempotency key is {length_bytes} bytes long, 1 to {IDEMPOTENCY_KEY_BYTES_MAX} are allowed"
    )]
    KeyLength {
        /// Length of the key.
        length_bytes: usize,
    },
    /// A snapshot does not decode.
    #[error("snapshot of the claims does not decode: {reason}")]
    SnapshotDecode {
        /// Error of the decoder.
        reason: String,
    },
    /// A snapshot has a format that this build does not support.
    #[error("snapshot of the claims has format {format}, this build reads format {known}")]
    SnapshotFormat {
        /// Format of the snapshot.
        format: u8,
        /// Format that this build reads.
        known: u8,
    },
}
