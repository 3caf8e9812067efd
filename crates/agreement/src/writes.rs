use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{Envelope, Snapshot, Synced, Term};

/// What waits for one write to become durable.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) held: Vec<Envelope>,
    pub(crate) issued_ms: u64,
    pub(crate) last_entry: Option<LogIndex>,
    pub(crate) own_vote: Option<Term>,
    pub(crate) restore: Option<Arc<Snapshot>>,
    pub(crate) sequence: u64,
}

/// Writes handed to the host and not yet durable, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    next_sequence: u64,
    writes: VecDeque<PendingWrite>,
}

impl PendingWrites {
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Time at which the oldest write was handed to the host.
    pub(crate) fn oldest_issued_ms(&self) -> Option<u64> {
        self.writes.front().map(|write| write.issued_ms)
    }

    pub(crate) fn is_restoring(&self) -> bool {
        self.writes.iter().any(|write| write.restore.is_some())
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    pub(crate) fn push(&mut self, write: PendingWrite) {
        self.writes.push_back(write);
    }

    /// Holds messages back until every write so far is durable.
    pub(crate) fn hold(&mut self, messages: Vec<Envelope>) {
        let last = self.writes.back_mut().expect("a write is pending");
        last.held.extend(messages);
    }

    /// Takes the oldest write, which must be the one that the proof is for.
    pub(crate) fn complete(&mut self, synced: &Synced) -> PendingWrite {
        let write = self
            .writes
            .pop_front()
            .expect("proof is for a pending write");
        assert_eq!(
            write.sequence, synced.sequence,
            "writes become durable in order"
        );
        write
    }

    /// Entries from a position on were replaced: older writes no longer vouch for them.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        let last_kept = LogIndex(first.0 - 1);
        for write in &mut self.writes {
            write.last_entry = write.last_entry.map(|last| last.min(last_kept));
        }
    }
}
