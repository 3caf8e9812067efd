use std::io;

use thiserror::Error;

/// Why the journal cannot be opened or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A file holds invalid bytes that no unfinished write explains.
    #[error("file `{file}` is damaged at byte {offset_bytes}: {reason}")]
    Damaged {
        /// Name of the file within the data folder.
        file: String,
        /// Where the damage begins.
        offset_bytes: u64,
        /// What is wrong there.
        reason: String,
    },
    /// The folder has journal files but no identity.
    #[error("the data folder holds `{file}` but no identity file")]
    IdentityMissing {
        /// A journal file.
        file: String,
    },
    /// Reading or writing failed.
    #[error("cannot {action} `{file}`: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// File or folder.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("data folder `{folder}` is in use by another process")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// A file that must exist does not.
    #[error("file `{file}` is missing from the data folder")]
    Missing {
        /// Name of the file.
        file: String,
    },
    /// An earlier write or sync failed.
    #[error("the journal accepts nothing more since a write failed: {cause}")]
    Poisoned {
        /// The first failure.
        cause: String,
    },
    /// A record is larger than a frame may be.
    #[error("a record of {length_bytes} bytes is too large for the journal")]
    TooLarge {
        /// Its encoded length.
        length_bytes: usize,
    },
    /// A file has another format version.
    #[error(
        "file `{file}` has format version {version} at byte {offset_bytes}, which this program does not read"
    )]
    Version {
        /// Name of the file.
        file: String,
        /// Where the version stands.
        offset_bytes: u64,
        /// The version found.
        version: u8,
    },
    /// The folder belongs to another instance.
    #[error("the data folder belongs to instance `{found}`, not `{expected}`")]
    WrongInstance {
        /// Instance that opens the folder.
        expected: String,
        /// Instance that the folder belongs to.
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
