use agreement::Term;
use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

/// Who leads, as this instance knows.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// Whether this instance leads.
    pub is_leader: bool,
    /// The leader, where known.
    pub leader: Option<InstanceName>,
    /// Current term.
    pub term: Term,
}

/// What an instance knows of itself and its group.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct GroupStatus {
    /// Last position applied to the state machine.
    pub applied: LogIndex,
    /// The replica: role, term, leader, commit position, voters and learners.
    pub replica: agreement::ReplicaStatus,
}
