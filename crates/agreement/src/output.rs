use std::sync::Arc;

use names::LogIndex;

use crate::{Entry, Envelope, HardState, RejectReason, ReplicaRequestId, Snapshot, Term};

/// Action that the host executes, in the order given.
#[derive(Debug)]
pub enum Output {
    /// A proposal or membership change was appended; it is not committed yet.
    Appended {
        /// Index of its entry.
        index: LogIndex,
        /// Identifier of the request.
        request: ReplicaRequestId,
        /// Term of its entry; if another term is committed at `index`, the request is lost.
        term: Term,
    },
    /// Committed entries with consecutive indexes, to be applied to the state machine.
    Apply(Vec<Entry>),
    /// A leadership transfer has started; it is not known yet whether the target takes over.
    LeadershipTransferStarted {
        /// Identifier of the request.
        request: ReplicaRequestId,
    },
    /// State to be made durable; writes must become durable in the order of the outputs.
    Persist(Write),
    /// Read index: this replica was the leader at some time after the request.
    ReadIndex {
        /// Index that a read must have applied to see everything committed before the request.
        index: LogIndex,
        /// Identifier of the request.
        request: ReplicaRequestId,
    },
    /// A request was rejected and had no effect.
    Rejected {
        /// Reason of the rejection.
        reason: RejectReason,
        /// Identifier of the request.
        request: ReplicaRequestId,
    },
    /// Snapshot that replaces the content of the state machine.
    Restore(Arc<Snapshot>),
    /// Message to be sent; it depends on no write in progress.
    Send(Envelope),
}

/// State to be made durable.
///
/// Messages that depend on a write stay inside the replica until it receives the [`DurableWrite`]
/// that the write is converted into.
#[derive(Debug)]
pub struct Write {
    /// Whether the snapshot replaces the whole log, not only the entries up to its index.
    pub discards_log: bool,
    /// Entries that replace all stored entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// New snapshot, to be made durable before the rest.
    pub snapshot: Option<Arc<Snapshot>>,
    pub(crate) sequence: u64,
}

impl Write {
    /// Converts the write into the proof that everything in it is durable.
    #[must_use]
    pub fn into_durable(self) -> DurableWrite {
        DurableWrite {
            sequence: self.sequence,
        }
    }
}

/// Proof that a write is durable.
#[derive(Debug)]
pub struct DurableWrite {
    pub(crate) sequence: u64,
}
