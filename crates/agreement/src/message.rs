use std::fmt::{self, Display, Formatter};

use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Entry, Member, Membership, StorageId, Term};

/// Number of a replication group; several groups share connections and journals.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId(pub u32);

impl Display for GroupId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A message between two replicas of a group.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Sender.
    pub from: Member,
    /// Group that both belong to.
    pub group: GroupId,
    /// Content.
    pub message: Message,
    /// Sender's term; in a pre-vote, the term that the candidate would start.
    pub term: Term,
    /// Receiving instance.
    pub to: InstanceName,
    /// Storage that the sender expects there; `None` while it knows none.
    pub to_storage: Option<StorageId>,
}

/// Content of an envelope.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Entries or, without any, a heartbeat.
    Append(Append),
    /// Answer to an append or to the last chunk of a snapshot.
    AppendAnswer(AppendAnswer),
    /// Introduces a replica to instances that may not know its storage.
    Hello(Hello),
    /// Passes an introduction on to the leader.
    Introduction(Introduction),
    /// Part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answer to a chunk that was not the last.
    SnapshotAnswer(SnapshotAnswer),
    /// Tells the receiver to start an election at once.
    StartElection,
    /// Answer to a vote request.
    VoteAnswer(VoteAnswer),
    /// Asks for a vote.
    VoteRequest(VoteRequest),
}

/// Introduces a replica.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Instances that the sender would found the group with, sorted.
    pub initial_voters: Vec<InstanceName>,
    /// What the sender knows of the group.
    pub standing: Standing,
}

/// What a replica that introduces itself knows of the group.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// Holds no log and no membership.
    Blank,
    /// Holds a log, is no voter in it, and hears from no leader.
    Outsider,
    /// Holds a log; only an answer to another introduction.
    Settled,
}

/// A replica that introduced itself to a follower.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Introduction {
    /// The replica.
    pub member: Member,
    /// What it knows of the group.
    pub standing: Standing,
}

/// Entries that follow a position of the leader's log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Leader's commit position.
    pub commit: LogIndex,
    /// Consecutive entries after `previous_index`.
    pub entries: Vec<Entry>,
    /// Position before the first entry.
    pub previous_index: LogIndex,
    /// Term of the entry at `previous_index`.
    pub previous_term: Term,
    /// Number of the leader's latest confirmation round.
    pub round: u64,
}

/// Answer to an append.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendAnswer {
    /// What became of the entries.
    pub result: AppendResult,
    /// Round of the append that is answered.
    pub round: u64,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResult {
    /// Every entry up to `matched` equals the leader's and is durable.
    Matched {
        /// Last such position.
        matched: LogIndex,
    },
    /// The entry before the first one differs or is missing.
    Mismatched {
        /// Greatest position that may still match.
        hint: LogIndex,
        /// Position whose entry differs or is missing.
        previous_index: LogIndex,
    },
}

/// Part of a snapshot.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// Time of the entry at `index`, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Bytes from `offset_bytes` on.
    pub data: Vec<u8>,
    /// Last position that the snapshot includes.
    pub index: LogIndex,
    /// Length of the whole content.
    pub length_bytes: u64,
    /// Membership at `index`.
    pub membership: Membership,
    /// Where `data` begins.
    pub offset_bytes: u64,
    /// Number of the leader's latest confirmation round.
    pub round: u64,
    /// Term of the entry at `index`.
    pub term: Term,
}

/// Answer to a chunk that was not the last.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotAnswer {
    /// Position of the snapshot.
    pub index: LogIndex,
    /// Bytes that the receiver holds.
    pub received_bytes: u64,
    /// Round of the chunk that is answered.
    pub round: u64,
}

/// Answer to a vote request.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteAnswer {
    /// Whether the vote was given.
    pub granted: bool,
    /// Whether the request was a pre-vote.
    pub pre_vote: bool,
}

/// Asks for a vote.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Whether the leader itself asked for this election.
    pub forced: bool,
    /// Candidate's last position.
    pub last_index: LogIndex,
    /// Term of the entry there.
    pub last_term: Term,
    /// Whether this only asks if a vote would be given.
    pub pre_vote: bool,
}

impl Message {
    /// Whether the envelope's term is one that the sender has not started.
    pub(crate) fn is_pre_vote(&self) -> bool {
        match self {
            Self::VoteAnswer(answer) => answer.pre_vote && answer.granted,
            Self::VoteRequest(request) => request.pre_vote,
            _ => false,
        }
    }
}
