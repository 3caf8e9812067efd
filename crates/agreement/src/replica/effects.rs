use names::LogIndex;

use super::Replica;
use crate::writes::PendingWrite;
use crate::{DurableWrite, Output, Write};

impl Replica {
    pub(super) fn on_write_durable(&mut self, durable: &DurableWrite) {
        let write = self.writes.complete(durable);
        if let Some(last) = write.last_index {
            self.log.mark_durable(last);
        }
        if let Some(snapshot) = write.snapshot_to_restore {
            assert!(
                snapshot.index > self.applied_index,
                "a restored snapshot is ahead of the state machine"
            );
            self.applied_index = snapshot.index;
            self.effects.outputs.push(Output::Restore(snapshot));
        }
        let messages = write.deferred_messages.into_iter().map(Output::Send);
        self.effects.outputs.extend(messages);
        if let Some(term) = write.self_vote_term {
            self.on_self_vote_durable(term);
        }
    }

    /// Issues a write for the effects of an input, and defers the messages that depend on it.
    pub(super) fn issue_write(&mut self) {
        let deferred_messages = std::mem::take(&mut self.effects.deferred_messages);
        if self.has_write() {
            let write = self.build_write();
            self.writes.push(PendingWrite {
                deferred_messages,
                issued_ms: self.clock.now_ms(),
                last_index: write.entries.last().map(|last| last.index),
                self_vote_term: self.effects.self_vote_term.take(),
                sequence: write.sequence,
                snapshot_to_restore: write
                    .snapshot
                    .clone()
                    .filter(|_| std::mem::take(&mut self.effects.restores_state_machine)),
            });
            self.effects.outputs.push(Output::Persist(write));
        } else if self.writes.is_empty() {
            self.effects
                .outputs
                .extend(deferred_messages.into_iter().map(Output::Send));
        } else {
            self.writes.defer_messages(deferred_messages);
        }
    }

    /// Outputs the entries that are committed, and durable on this replica, to be applied.
    pub(super) fn apply_committed(&mut self) {
        let last = self.commit_index.min(self.log.durable_index());
        if self.writes.is_restoring() || last <= self.applied_index {
            return;
        }
        let first = LogIndex(self.applied_index.0 + 1);
        let entries = self.log.entries_between(first, last);
        self.applied_index = last;
        self.effects.outputs.push(Output::Apply(entries));
    }

    fn has_write(&self) -> bool {
        self.effects.is_hard_state_changed
            || self.effects.first_new_index.is_some()
            || self.effects.snapshot.is_some()
    }

    fn build_write(&mut self) -> Write {
        let entries = self
            .effects
            .first_new_index
            .take()
            .map_or_else(Vec::new, |first| {
                self.log.entries_between(first, self.log.last_index())
            });
        let is_hard_state_changed = std::mem::take(&mut self.effects.is_hard_state_changed);
        Write {
            discards_log: std::mem::take(&mut self.effects.discards_log),
            entries,
            hard_state: is_hard_state_changed.then(|| self.hard_state.clone()),
            sequence: self.writes.next_sequence(),
            snapshot: self.effects.snapshot.take(),
        }
    }
}
