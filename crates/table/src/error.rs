use thiserror::Error;

/// Why text or bytes could not be taken.
#[derive(Debug, Error)]
pub enum Error {
    /// The base of a line is not as it was written.
    #[error("the base of a line must be as it was written, such as r17-9f2c41aa03bd")]
    LineBase,
    /// A CSV file does not have the expected shape.
    #[error("CSV line {line}: {reason}")]
    Csv {
        /// Line of the file, from 1.
        line: u64,
        /// What is wrong.
        reason: String,
    },
    /// An edit id breaks its rules.
    #[error("edit id `{id}` must be 1 to 64 ASCII letters, digits, `.`, `_` or `-`", id = id.escape_debug())]
    EditId {
        /// The refused id, shortened.
        id: String,
    },
    /// The hash of a key is not SHA-256 in hexadecimal digits.
    #[error("the hash of a key is 64 hexadecimal digits")]
    KeyHash,
    /// A time of day is not `HH:MM`.
    #[error("time `{text}` must be HH:MM, from 00:00 to 23:59", text = text.escape_debug())]
    LocalTime {
        /// The refused text, shortened.
        text: String,
    },
    /// The content of an item is of another sort than the item.
    #[error("content does not fit the item {item_id}")]
    Mismatch {
        /// The item.
        item_id: String,
    },
    /// A snapshot does not decode.
    #[error("snapshot of the table does not decode: {reason}")]
    SnapshotDecode {
        /// What the decoder said.
        reason: String,
    },
    /// A snapshot was written in a format that this build does not know.
    #[error("snapshot of the table has format {format}, this build reads format {known}")]
    SnapshotFormat {
        /// Format found.
        format: u8,
        /// Format that this build reads.
        known: u8,
    },
}
