use names::LogIndex;

use super::Replica;
use crate::writes::PendingWrite;
use crate::{Output, Synced, Write};

impl Replica {
    pub(super) fn on_synced(&mut self, synced: &Synced) {
        let write = self.writes.complete(synced);
        if let Some(last) = write.last_entry {
            self.log.mark_synced(last);
        }
        if let Some(snapshot) = write.restore {
            assert!(
                snapshot.index > self.delivered,
                "a restored snapshot is ahead of the state machine"
            );
            self.delivered = snapshot.index;
            self.draft.outputs.push(Output::Restore(snapshot));
        }
        let messages = write.held.into_iter().map(Output::Send);
        self.draft.outputs.extend(messages);
        if let Some(term) = write.own_vote {
            self.on_own_vote(term);
        }
    }

    /// Turns the effects of an input into a write and the messages that wait for it.
    pub(super) fn flush(&mut self) {
        let held = std::mem::take(&mut self.draft.held);
        if self.has_write() {
            let write = self.draft_write();
            self.writes.push(PendingWrite {
                held,
                issued_ms: self.clock.now_ms(),
                last_entry: write.entries.last().map(|last| last.index),
                own_vote: self.draft.own_vote.take(),
                restore: write
                    .snapshot
                    .clone()
                    .filter(|_| std::mem::take(&mut self.draft.restore)),
                sequence: write.sequence,
            });
            self.draft.outputs.push(Output::Persist(write));
        } else if self.writes.is_empty() {
            self.draft
                .outputs
                .extend(held.into_iter().map(Output::Send));
        } else {
            self.writes.hold(held);
        }
    }

    /// Hands over entries that are committed and durable here.
    pub(super) fn deliver(&mut self) {
        let ready = self.commit.min(self.log.synced());
        if self.writes.is_restoring() || ready <= self.delivered {
            return;
        }
        let first = LogIndex(self.delivered.0 + 1);
        let entries = self.log.entries_between(first, ready);
        self.delivered = ready;
        self.draft.outputs.push(Output::Commit(entries));
    }

    fn has_write(&self) -> bool {
        self.draft.hard_state || self.draft.first_entry.is_some() || self.draft.snapshot.is_some()
    }

    fn draft_write(&mut self) -> Write {
        let entries = self
            .draft
            .first_entry
            .take()
            .map_or_else(Vec::new, |first| {
                self.log.entries_between(first, self.log.last_index())
            });
        let hard_state = std::mem::take(&mut self.draft.hard_state);
        Write {
            discards_log: std::mem::take(&mut self.draft.discards_log),
            entries,
            hard_state: hard_state.then(|| self.hard_state.clone()),
            sequence: self.writes.next_sequence(),
            snapshot: self.draft.snapshot.take(),
        }
    }
}
