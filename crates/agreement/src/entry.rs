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

/// One position of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Leader's wall-clock time of the append, in ms since the Unix epoch; never decreases.
    pub at_ms: u64,
    /// Position in the log.
    pub index: LogIndex,
    /// What the entry holds.
    pub payload: Payload,
    /// Term of the leader that appended it.
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
    /// Voters and learners from this position on.
    Membership(Membership),
    /// Marks the start of a term.
    Noop,
}

/// State that must be durable before any message that depends on it.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<Member>,
}

/// State machine content up to a position, in place of the log before it.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Time of the entry at `index`, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Content as the state machine wrote it.
    pub data: Vec<u8>,
    /// Last position that the content includes.
    pub index: LogIndex,
    /// Membership at `index`.
    pub membership: Membership,
    /// Term of the entry at `index`.
    pub term: Term,
}
