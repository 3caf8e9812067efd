use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::progress::FollowerProgress;
use crate::{Member, ReplicaRequestId};

/// Role of a replica, without its state.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicaRole {
    /// Requests votes or pre-votes.
    Candidate,
    /// Follows a leader, or waits for an election.
    Follower,
    /// Leader of the term.
    Leader,
}

/// Read index request that no quorum has confirmed yet.
#[derive(Debug)]
pub(crate) struct PendingReadIndex {
    pub(crate) confirmation_round: u64,
    pub(crate) index: LogIndex,
    pub(crate) request: ReplicaRequestId,
}

/// Leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct LeadershipTransfer {
    pub(crate) deadline_ms: u64,
    pub(crate) is_timeout_now_sent: bool,
    pub(crate) target: InstanceName,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Number of the latest round of read index heartbeats.
    pub(crate) confirmation_round: u64,
    /// Progress of every other member, sorted by member.
    pub(crate) followers: Vec<FollowerProgress>,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    pub(crate) next_heartbeat_ms: u64,
    pub(crate) pending_read_indexes: Vec<PendingReadIndex>,
    /// First index of the leader's term.
    pub(crate) term_start_index: LogIndex,
}

/// Role of a replica with the state of that role.
#[derive(Debug)]
pub(crate) enum RoleState {
    Candidate { votes: Vec<Member> },
    Follower,
    Leader(LeaderState),
    PreCandidate { votes: Vec<Member> },
}
