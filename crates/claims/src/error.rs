use thiserror::Error;

use crate::IDEMPOTENCY_KEY_BYTES_MAX;

/// Why text or bytes could not be taken.
#[derive(Debug, Error)]
pub enum Error {
    /// An idempotency key holds a character that is not visible ASCII.
    #[error("idempotency key holds a character other than visible ASCII")]
    KeyCharacter,
    /// An idempotency key is empty or too long.
    #[error(
        "idempotency key is {length_bytes} bytes long, 1 to {IDEMPOTENCY_KEY_BYTES_MAX} are allowed"
    )]
    KeyLength {
        /// Length of the refused key.
        length_bytes: usize,
    },
    /// A snapshot does not decode.
    #[error("snapshot of the claims does not decode: {reason}")]
    SnapshotDecode {
        /// What the decoder said.
        reason: String,
    },
    /// A snapshot was written in a format that this build does not know.
    #[error("snapshot of the claims has format {format}, this build reads format {known}")]
    SnapshotFormat {
        /// Format found.
        format: u8,
        /// Format that this build reads.
        known: u8,
    },
}
