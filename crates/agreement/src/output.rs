use std::sync::Arc;

use names::LogIndex;

use crate::{Entry, Envelope, HardState, Refusal, RequestNumber, Snapshot, Term};

/// Action that the host carries out, in order.
#[derive(Debug)]
pub enum Output {
    /// A proposal or change got a position; it is not committed yet.
    Appended {
        /// Its position.
        index: LogIndex,
        /// Number of the request.
        request: RequestNumber,
        /// Term of the position; a commit there in another term means that the request is lost.
        term: Term,
    },
    /// Committed entries, consecutive, to be applied.
    Commit(Vec<Entry>),
    /// This replica was the leader at some time after the request.
    Confirmed {
        /// Position that a read must have applied to see everything committed before the request.
        index: LogIndex,
        /// Number of the request.
        request: RequestNumber,
    },
    /// Leadership is being handed over.
    HandingOver {
        /// Number of the request.
        request: RequestNumber,
    },
    /// State to be made durable, in the order of the writes.
    Persist(Write),
    /// A request had no effect.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Number of the request.
        request: RequestNumber,
    },
    /// The state machine takes this content, which replaces its own.
    Restore(Arc<Snapshot>),
    /// A message that depends on no write in progress.
    Send(Envelope),
}

/// State to be made durable.
///
/// Messages that depend on a write stay inside the replica until it is handed the proof
/// `Synced`, which only a write turns into.
#[derive(Debug)]
pub struct Write {
    /// Whether the snapshot replaces every entry so far, not only those up to its position.
    pub discards_log: bool,
    /// Entries that replace everything from the first one's position on.
    pub entries: Vec<Entry>,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// New snapshot, to be made durable before the rest.
    pub snapshot: Option<Arc<Snapshot>>,
    pub(crate) sequence: u64,
}

impl Write {
    /// Proof that everything in this write is durable.
    #[must_use]
    pub fn synced(self) -> Synced {
        Synced {
            sequence: self.sequence,
        }
    }
}

/// Proof that a write is durable.
#[derive(Debug)]
pub struct Synced {
    pub(crate) sequence: u64,
}
