use agreement::Refusal;
use names::InstanceName;
use thiserror::Error;

/// Why a request to the replicated state failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The journal cannot be opened.
    #[error("cannot open the data folder: {0}")]
    Journal(#[from] journal::Error),
    /// This instance is not the leader; the request was not run.
    #[error("this instance does not lead the replicated state")]
    NotLeader {
        /// The leader, where known.
        leader: Option<InstanceName>,
    },
    /// The replica refused a request; it was not run.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The stored state cannot be decoded.
    #[error("stored state of group {group} cannot be decoded: {source}")]
    Stored {
        /// The group.
        group: u32,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The command is longer than allowed; it was not run.
    #[error("the command is {length_bytes} bytes long, at most {length_bytes_max} are allowed")]
    TooLarge {
        /// Its length.
        length_bytes: usize,
        /// The longest allowed.
        length_bytes_max: usize,
    },
    /// The request was not run.
    #[error("the replicated state is unavailable: {reason}")]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The request was appended, and leadership was lost before it was committed.
    #[error("the outcome is unknown: leadership was lost before the request was committed")]
    Unknown,
}

impl Error {
    /// Whether the request certainly had no effect.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown)
    }

    pub(crate) fn stopped() -> Self {
        Self::Unavailable {
            reason: "it has stopped".to_owned(),
        }
    }
}
