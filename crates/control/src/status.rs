use agreement::Term;
use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

/// This instance's view of the term and its leader.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// Whether this instance leads.
    pub is_leader: bool,
    /// Leader of the term, if known.
    pub leader: Option<InstanceName>,
    /// Current term.
    pub term: Term,
}

/// State of a group as seen by this instance.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct GroupStatus {
    /// Index of the last entry applied to the state machine.
    pub applied_index: LogIndex,
    /// State of the replica: role, term, leader, commit index, voters and learners.
    pub replica: agreement::ReplicaStatus,
}
