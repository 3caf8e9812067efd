use names::{InstanceName, LogIndex};

use crate::{DurableWrite, Envelope, MembershipChange};

/// Identifier that the host assigns to a request; repeated in the [`Output`](crate::Output).
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReplicaRequestId(pub u64);

/// Command to be appended to the log.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Command for the state machine, opaque to the replica.
    pub command: Vec<u8>,
    /// Identifier of the request.
    pub request: ReplicaRequestId,
}

/// Event passed to [`Replica::handle`](crate::Replica::handle).
#[derive(Debug)]
pub enum Input {
    /// Requests a membership change.
    ChangeMembership {
        /// The change.
        change: MembershipChange,
        /// Identifier of the request.
        request: ReplicaRequestId,
        /// Wall-clock time, in ms since the Unix epoch.
        timestamp_ms: u64,
    },
    /// Snapshot of the state machine at an applied index; the log up to it may be discarded.
    Compact {
        /// Encoded state.
        data: Vec<u8>,
        /// Index of the last applied entry that `data` includes.
        index: LogIndex,
    },
    /// Message received from another replica.
    Message(Envelope),
    /// Requests that commands are appended.
    Propose {
        /// Commands, in the order of the log.
        proposals: Vec<Proposal>,
        /// Wall-clock time, in ms since the Unix epoch.
        timestamp_ms: u64,
    },
    /// Requests a read index: confirmation that this replica leads, and the index to read at.
    ReadIndex {
        /// Identifier of the request.
        request: ReplicaRequestId,
    },
    /// Time has passed.
    Tick,
    /// Requests a leadership transfer to another voter.
    TransferLeadership {
        /// Identifier of the request.
        request: ReplicaRequestId,
        /// Voter that is to lead.
        to: InstanceName,
    },
    /// The oldest write in progress is durable.
    WriteDurable(DurableWrite),
}
