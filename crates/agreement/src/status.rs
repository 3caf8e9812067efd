use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Member, Membership, ReplicaRole, Term};

/// Replication state of one follower, as known to the leader.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct FollowerStatus {
    /// Bytes of entries sent and not acknowledged.
    pub in_flight_bytes: usize,
    /// Time since the follower's latest response.
    pub last_response_age_ms: u64,
    /// Highest index known to be durable at the follower.
    pub match_index: LogIndex,
    /// Instance and storage identity of the follower.
    pub member: Member,
}

/// State of a replica and its view of the group.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// Highest index known to be committed.
    pub commit_index: LogIndex,
    /// Followers; empty if this replica does not lead.
    pub followers: Vec<FollowerStatus>,
    /// Replicas that recently sent a `Hello` and are not members with that storage identity.
    pub non_members: Vec<Member>,
    /// Index of the last log entry.
    pub last_index: LogIndex,
    /// Leader of the term, if known.
    pub leader: Option<InstanceName>,
    /// Instance and storage identity of this replica.
    pub member: Member,
    /// Latest membership, committed or not.
    pub membership: Membership,
    /// Whether the latest membership is known to be committed.
    pub membership_committed: bool,
    /// Role of this replica.
    pub role: ReplicaRole,
    /// Current term.
    pub term: Term,
}
