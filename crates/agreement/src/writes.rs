use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{DurableWrite, Envelope, Snapshot, Term};

/// Write in progress, and the effects that wait until it is durable.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) deferred_messages: Vec<Envelope>,
    pub(crate) issued_ms: u64,
    pub(crate) last_index: Option<LogIndex>,
    /// Term in which the replica votes for itself by this write.
    pub(crate) self_vote_term: Option<Term>,
    pub(crate) sequence: u64,
    pub(crate) snapshot_to_restore: Option<Arc<Snapshot>>,
}

/// Writes that the host has not made durable yet, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    next_sequence: u64,
    writes: VecDeque<PendingWrite>,
}

impl PendingWrites {
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Time at which the oldest write was issued to the host.
    pub(crate) fn oldest_issued_ms(&self) -> Option<u64> {
        self.writes.front().map(|write| write.issued_ms)
    }

    pub(crate) fn is_restoring(&self) -> bool {
        self.writes
            .iter()
            .any(|write| write.snapshot_to_restore.is_some())
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    pub(crate) fn push(&mut self, write: PendingWrite) {
        self.writes.push_back(write);
    }

    /// Defers messages until every write so far is durable.
    pub(crate) fn defer_messages(&mut self, messages: Vec<Envelope>) {
        let last = self.writes.back_mut().expect("a write is pending");
        last.deferred_messages.extend(messages);
    }

    /// Removes the oldest write; `durable` must be the proof of that write.
    pub(crate) fn complete(&mut self, durable: &DurableWrite) -> PendingWrite {
        let write = self
            .writes
            .pop_front()
            .expect("proof is for a pending write");
        assert_eq!(
            write.sequence, durable.sequence,
            "writes become durable in order"
        );
        write
    }

    /// Records that entries from `first` on were replaced, so that an older write no longer makes
    /// them count as durable.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        let last_kept = LogIndex(first.0 - 1);
        for write in &mut self.writes {
            write.last_index = write.last_index.map(|last| last.min(last_kept));
        }
    }
}
