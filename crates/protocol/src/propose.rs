use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A committed and applied command.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CommittedCommand {
    /// Encoded answer of the state machine.
    pub answer: Vec<u8>,
    /// Position in the log.
    pub index: LogIndex,
}

/// Why a command was not committed, as far as the asked instance knows.
#[derive(Debug, Clone, Deserialize, Error, Serialize)]
pub enum ProposeError {
    /// The asked instance is not the leader.
    #[error("the asked instance does not lead the voters")]
    NotLeader {
        /// Who may be.
        leader: Option<InstanceName>,
    },
    /// No quorum; the command is not in the log.
    #[error("no quorum of voters can be reached")]
    Unavailable,
    /// The command may or may not become committed.
    #[error("the command may or may not have been accepted")]
    Unknown,
}
