use thiserror::Error;

/// Why text or bytes could not be parsed or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// A file is not valid CSV, or its columns are unknown, duplicate or missing.
    #[error("CSV line {line}: {reason}")]
    Csv {
        /// Line of the file, from 1.
        line: u64,
        /// Description of the error.
        reason: String,
    },
    /// An edit id is empty, too long or has a character that is not allowed.
    #[error("edit id `{id}` must be 1 to 64 ASCII letters, digits, `.`, `_` or `-`", id = id.escape_debug())]
    EditId {
        /// The refused id, truncated.
        id: String,
    },
    /// The content of an item has another type than its id.
    #[error("content of item {item_id} has another type than the item id")]
    ItemMismatch {
        /// Id of the item.
        item_id: String,
    },
    /// The hash of a key is not a SHA-256 in hexadecimal digits.
    #[error("the hash of a key is 64 hexadecimal digits")]
    KeyHash,
    /// The base of a CSV line is malformed.
    #[error("the base of a line must be as it was written, such as r17-9f2c41aa03bd")]
    LineBase,
    /// A time of day is not `HH:MM`.
    #[error("time `{text}` must be HH:MM, from 00:00 to 23:59", text = text.escape_debug())]
    LocalTime {
        /// The refused text, truncated.
        text: String,
    },
    /// A snapshot does not decode.
    #[error("snapshot of the table does not decode: {reason}")]
    SnapshotDecode {
        /// Error of the decoder.
        reason: String,
    },
    /// A snapshot has a format that this build does not support.
    #[error("snapshot of the table has format {format}, this build reads format {known}")]
    SnapshotFormat {
        /// Format of the snapshot.
        format: u8,
        /// Format that this build reads.
        known: u8,
    },
}
