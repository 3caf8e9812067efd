use agreement::RejectReason;
use names::InstanceName;
use thiserror::Error;

/// Error of a request to a replicated group.
#[derive(Debug, Error)]
pub enum Error {
    /// The journal cannot be opened.
    #[error("cannot open the data folder: {0}")]
    Journal(#[from] journal::Error),
    /// This instance does not lead; the request was not run.
    #[error("this instance does not lead the replicated state")]
    NotLeader {
        /// Leader of the term, if known.
        leader: Option<InstanceName>,
    },
    /// The replica rejected the request; it was not run.
    #[error(transparent)]
    Rejected(#[from] RejectReason),
    /// The state that the journal holds for a group cannot be decoded.
    #[error("stored state of group {group} cannot be decoded: {source}")]
    StateDecode {
        /// Number of the group.
        group: u32,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The command exceeds `Settings::command_bytes_max`; it was not run.
    #[error("the command is {length_bytes} bytes long, at most {length_bytes_max} are allowed")]
    TooLarge {
        /// Length of the command.
        length_bytes: usize,
        /// Maximum length of a command.
        length_bytes_max: usize,
    },
    /// The group cannot accept the request now; it was not run.
    #[error("the replicated state is unavailable: {reason}")]
    Unavailable {
        /// Cause, as text for an operator.
        reason: String,
    },
    /// Leadership was lost, or the group stopped, before an appended request was committed.
    #[error("the outcome is unknown: leadership was lost before the request was committed")]
    Unknown,
}

impl Error {
    /// Whether the request is known to have had no effect.
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
