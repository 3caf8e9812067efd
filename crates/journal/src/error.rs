use std::io;

use thiserror::Error;

/// Why the journal cannot be opened, read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A file holds invalid bytes that an incomplete write cannot explain.
    #[error("file `{file}` is damaged at byte {offset_bytes}: {reason}")]
    Damaged {
        /// Name of the file within the data folder.
        file: String,
        /// Offset of the first invalid frame.
        offset_bytes: u64,
        /// What is invalid about it.
        reason: String,
    },
    /// A segment or snapshot that must exist does not.
    #[error("file `{file}` is missing from the data folder")]
    FileMissing {
        /// Name of the file.
        file: String,
    },
    /// The folder has journal files but no identity file.
    #[error("the data folder holds `{file}` but no identity file")]
    IdentityMissing {
        /// One of the journal files.
        file: String,
    },
    /// An operation on a file or folder failed.
    #[error("cannot {action} `{file}`: {source}")]
    Io {
        /// The operation, as a verb phrase.
        action: &'static str,
        /// Name of the file, or path of the folder.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("data folder `{folder}` is in use by another process")]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// An earlier write or sync failed; what the disk holds is unknown.
    #[error("the journal accepts no more records because a write failed: {cause}")]
    Poisoned {
        /// Text of the first error.
        cause: String,
    },
    /// A record is larger than the largest frame payload.
    #[error("a record of {length_bytes} bytes is too large for the journal")]
    RecordTooLarge {
        /// Encoded length of the record.
        length_bytes: usize,
    },
    /// A file has a format version other than [`crate::FORMAT_VERSION`].
    #[error(
        "file `{file}` has format version {version} at byte {offset_bytes}, which this program does not read"
    )]
    UnsupportedVersion {
        /// Name of the file.
        file: String,
        /// Offset of the frame with that version.
        offset_bytes: u64,
        /// Format version of the file.
        version: u8,
    },
    /// The folder belongs to another instance.
    #[error("the data folder belongs to instance `{found}`, not `{expected}`")]
    WrongInstance {
        /// Instance in the settings.
        expected: String,
        /// Instance in the identity file.
        found: String,
    },
}

impl Error {
    pub(crate) fn io(action: &'static str, file: &str, source: io::Error) -> Self {
        Self::Io {
            action,
            file: file.to_owned(),
            source,
        }
    }
}
