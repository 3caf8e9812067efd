use names::{InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::progress::Progress;
use crate::{Member, RequestNumber};

/// Role of a replica, as seen from outside.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum RoleName {
    /// Asks for votes, or asks whether votes would be given.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Appends to the log.
    Leader,
}

/// A request for proof of leadership.
#[derive(Debug)]
pub(crate) struct Confirmation {
    pub(crate) index: LogIndex,
    pub(crate) request: RequestNumber,
    pub(crate) round: u64,
}

/// A hand-over in progress.
#[derive(Debug)]
pub(crate) struct HandOver {
    pub(crate) deadline_ms: u64,
    /// Whether the target was told to start its election.
    pub(crate) told: bool,
    pub(crate) to: InstanceName,
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) confirmations: Vec<Confirmation>,
    /// Every other member, sorted.
    pub(crate) followers: Vec<Progress>,
    pub(crate) hand_over: Option<HandOver>,
    pub(crate) next_heartbeat_ms: u64,
    pub(crate) round: u64,
    /// First position of the term.
    pub(crate) term_start: LogIndex,
}

/// Role with its state.
#[derive(Debug)]
pub(crate) enum Role {
    Candidate { votes: Vec<Member> },
    Follower,
    Leader(Leadership),
    PreCandidate { votes: Vec<Member> },
}
