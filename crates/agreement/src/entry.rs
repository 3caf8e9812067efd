use std::fmt::{self, Display, Formatter};

use names::LogIndex;
use serde::{Deserialize, Serialize};

use crate::{Member, Membership};

/// Election term; at most one leader exists in each.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Term(pub u64);

impl Display for Term {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Entry of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Leader's wall-clock time of the append, in ms since the Unix epoch; never decreases.
    pub timestamp_ms: u64,
    /// Index in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
    /// Term of the leader that appended the entry.
    pub term: Term,
}

impl Entry {
    pub(crate) fn length_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Membership(membership) => OVERHEAD_BYTES * (1 + membership.len()),
            Payload::Noop => OVERHEAD_BYTES,
        }
    }
}

/// Content of an entry.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Opaque command for the state machine.
    Command(Vec<u8>),
    /// Voters and learners, in force from this index on, committed or not.
    Membership(Membership),
    /// First entry of a leader's term; commits the entries of earlier terms.
    Noop,
}

/// Raft's persistent term and vote; must be durable before any message that depends on it.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this replica's vote in `term`.
    pub vote: Option<Member>,
}

/// Encoded state machine at a log index; replaces the log up to that index.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Timestamp of the entry at `index`, in ms since the Unix epoch.
    pub timestamp_ms: u64,
    /// State as the state machine encoded it.
    pub data: Vec<u8>,
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Membership at `index`.
    pub membership: Membership,
    /// Term of the entry at `index`.
    pub term: Term,
}
