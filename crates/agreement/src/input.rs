use names::{InstanceName, LogIndex};

use crate::{Envelope, MembershipChange, Synced};

/// Number that the host gives a request, repeated in its answer.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestNumber(pub u64);

/// Command that the host asks to append.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Opaque content.
    pub command: Vec<u8>,
    /// Number of the request.
    pub request: RequestNumber,
}

/// Event that a replica reacts to.
#[derive(Debug)]
pub enum Input {
    /// Changes voters or learners.
    Change {
        /// Wall-clock time, in ms since the Unix epoch.
        at_ms: u64,
        /// The change.
        change: MembershipChange,
        /// Number of the request.
        request: RequestNumber,
    },
    /// The state machine's content at an applied position; the log before it may go.
    Compact {
        /// The content.
        data: Vec<u8>,
        /// Last position included.
        index: LogIndex,
    },
    /// Asks for proof that this replica is the leader now.
    Confirm {
        /// Number of the request.
        request: RequestNumber,
    },
    /// Hands leadership to another voter.
    HandOver {
        /// Number of the request.
        request: RequestNumber,
        /// The next leader.
        to: InstanceName,
    },
    /// A message of another replica.
    Message(Envelope),
    /// Appends commands.
    Propose {
        /// Wall-clock time, in ms since the Unix epoch.
        at_ms: u64,
        /// The commands, in order.
        proposals: Vec<Proposal>,
    },
    /// A write is durable.
    Synced(Synced),
    /// Time has passed.
    Tick,
}
