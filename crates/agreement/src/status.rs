use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Member, Membership, RoleName, Term};

/// Replication state of one follower, as its leader knows it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct FollowerStatus {
    /// Bytes sent and not acknowledged.
    pub in_flight_bytes: usize,
    /// Time since its last answer.
    pub last_response_age_ms: u64,
    /// Last position known to be durable there.
    pub matched: LogIndex,
    /// The follower.
    pub member: Member,
}

/// What a replica knows of itself and its group.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// Last position known to be committed.
    pub commit: LogIndex,
    /// Followers; empty on a replica that does not lead.
    pub followers: Vec<FollowerStatus>,
    /// Instances that introduced themselves and are no members with that storage.
    pub non_members: Vec<Member>,
    /// Last position of the log.
    pub last_index: LogIndex,
    /// Leader of the term, where known.
    pub leader: Option<InstanceName>,
    /// This replica.
    pub member: Member,
    /// Latest membership, committed or not.
    pub membership: Membership,
    /// Whether the latest membership is known to be committed.
    pub membership_committed: bool,
    /// Role of this replica.
    pub role: RoleName,
    /// Current term.
    pub term: Term,
}
