use std::fmt::{self, Display, Formatter};

use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Entry, Member, Membership, StorageId, Term};

/// Number of a replication group; several groups can share connections and a journal.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId(pub u32);

impl Display for GroupId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Message between two replicas of a group, with its addresses.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Sender.
    pub from: Member,
    /// Group of both replicas.
    pub group: GroupId,
    /// The message.
    pub message: Message,
    /// Sender's term; in a pre-vote, the term that the candidate would start.
    pub term: Term,
    /// Instance of the receiver.
    pub to: InstanceName,
    /// Storage identity that the receiver must have; `None` if the sender does not know it.
    pub to_storage: Option<StorageId>,
}

/// Message between two replicas, without its addresses.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Entries of the leader's log; without entries, a heartbeat.
    AppendEntries(AppendEntries),
    /// Response to `AppendEntries` or to the last chunk of a snapshot.
    AppendResponse(AppendResponse),
    /// Announces a replica to instances that may not know its storage identity.
    Hello(Hello),
    /// Forwards a `Hello` from a follower to its leader.
    ForwardedHello(ForwardedHello),
    /// Chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Response to a chunk other than the last.
    SnapshotResponse(SnapshotResponse),
    /// Makes the target of a leadership transfer start an election at once.
    TimeoutNow,
    /// Response to a vote or pre-vote request.
    VoteResponse(VoteResponse),
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
}

/// Announcement by which a replica can bootstrap or join a group.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Sender's configured initial voters, sorted.
    pub initial_voters: Vec<InstanceName>,
    /// Bootstrap state of the sender.
    pub bootstrap_state: BootstrapState,
}

/// Whether the sender of a `Hello` holds a log of the group.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum BootstrapState {
    /// No log and no membership.
    Blank,
    /// A log in whose membership the replica is no voter, and no contact with a leader.
    NonVoter,
    /// A log; sent only in reply to another `Hello`.
    Bootstrapped,
}

/// Content of a `Hello` that a follower received, for its leader.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedHello {
    /// Sender of the `Hello`.
    pub member: Member,
    /// Bootstrap state of that replica.
    pub bootstrap_state: BootstrapState,
}

/// Consecutive entries of the leader's log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendEntries {
    /// Leader's commit index.
    pub commit_index: LogIndex,
    /// Entries after `previous_index`.
    pub entries: Vec<Entry>,
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term of the entry at `previous_index`.
    pub previous_term: Term,
    /// Number of the leader's latest round of read index heartbeats.
    pub confirmation_round: u64,
}

/// Response to `AppendEntries`, or to the last chunk of a snapshot.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendResponse {
    /// Whether the logs match.
    pub result: AppendResult,
    /// `confirmation_round` of the request.
    pub confirmation_round: u64,
}

/// Result of the log matching check of `AppendEntries`.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResult {
    /// The logs are equal, and durable at the follower, up to `match_index`.
    Matched {
        /// Index of the last such entry.
        match_index: LogIndex,
    },
    /// The follower's entry at `previous_index` is missing or has another term.
    Mismatched {
        /// Greatest index at which the logs may match.
        hint: LogIndex,
        /// `previous_index` of the request.
        previous_index: LogIndex,
    },
}

/// Chunk of a snapshot, with the snapshot's metadata.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// Timestamp of the entry at `index`, in ms since the Unix epoch.
    pub timestamp_ms: u64,
    /// Bytes of the snapshot from `offset_bytes` on.
    pub data: Vec<u8>,
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Length of the whole snapshot.
    pub length_bytes: u64,
    /// Membership at `index`.
    pub membership: Membership,
    /// Offset of `data` in the snapshot.
    pub offset_bytes: u64,
    /// Number of the leader's latest round of read index heartbeats.
    pub confirmation_round: u64,
    /// Term of the entry at `index`.
    pub term: Term,
}

/// Response to a snapshot chunk other than the last.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotResponse {
    /// Index of the snapshot.
    pub index: LogIndex,
    /// Length of the data that the follower holds.
    pub received_bytes: u64,
    /// `confirmation_round` of the chunk.
    pub confirmation_round: u64,
}

/// Response to a vote or pre-vote request.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteResponse {
    /// Whether the vote was granted.
    pub granted: bool,
    /// Whether the request was a pre-vote.
    pub pre_vote: bool,
}

/// Vote or pre-vote request of a candidate.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Whether the election is part of a leadership transfer and may depose a live leader.
    pub is_leadership_transfer: bool,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
    /// Whether this is a pre-vote.
    pub pre_vote: bool,
}

impl Message {
    /// Whether the envelope carries a term that has not started: a pre-vote or a granted pre-vote.
    pub(crate) fn has_unstarted_term(&self) -> bool {
        match self {
            Self::VoteResponse(response) => response.pre_vote && response.granted,
            Self::VoteRequest(request) => request.pre_vote,
            _ => false,
        }
    }
}
