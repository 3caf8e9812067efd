use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Result of a committed and applied command.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CommittedCommand {
    /// Encoded answer of the state machine.
    pub answer: Vec<u8>,
    /// Index of the command in the log.
    pub index: LogIndex,
}

/// Why the called instance could not confirm that a command was committed.
#[derive(Debug, Clone, Deserialize, Error, Serialize)]
pub enum ProposeError {
    /// The called instance is not the leader.
    #[error("the called instance does not lead the voters")]
    NotLeader {
        /// The leader, as far as the called instance knows.
        leader: Option<InstanceName>,
    },
    /// No quorum; the command is not in the log.
    #[error("no quorum of voters can be reached")]
    Unavailable,
    /// The command may or may not become committed.
    #[error("the command may or may not have been accepted")]
    Unknown,
}
