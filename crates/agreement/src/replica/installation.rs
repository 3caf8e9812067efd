use std::sync::Arc;

use names::LogIndex;

use super::Replica;
use crate::{
    AppendAnswer, AppendResult, Member, Message, Snapshot, SnapshotAnswer, SnapshotChunk, Term,
};

/// Snapshot that arrives in chunks.
#[derive(Debug)]
pub(super) struct Installation {
    data: Vec<u8>,
    index: LogIndex,
    leader: Member,
    leader_term: Term,
}

impl Replica {
    pub(super) fn on_snapshot_chunk(&mut self, from: &Member, chunk: SnapshotChunk) {
        self.follow(from.clone());
        let round = chunk.round;
        if chunk.index <= self.commit {
            self.answer_installed(from, self.commit, round);
            return;
        }
        let index = chunk.index;
        let received_bytes = self.take_chunk(from, &chunk);
        if received_bytes < chunk.length_bytes {
            let answer = SnapshotAnswer {
                index,
                received_bytes,
                round,
            };
            self.hold(from, Message::SnapshotAnswer(answer));
            return;
        }
        self.install(chunk);
        self.answer_installed(from, index, round);
    }

    pub(super) fn on_compact(&mut self, data: Vec<u8>, index: LogIndex) {
        assert!(
            index <= self.delivered,
            "a snapshot holds delivered entries only"
        );
        let known = self.log.snapshot().map_or(LogIndex(0), |known| known.index);
        if index <= known || index < self.log.base_index() {
            return;
        }
        let entry = self
            .log
            .entry(index)
            .expect("delivered entry is in the log");
        let snapshot = Arc::new(Snapshot {
            at_ms: entry.at_ms,
            data,
            index,
            membership: self.log.membership_at(index).clone(),
            term: entry.term,
        });
        self.log
            .compact(snapshot.clone(), self.settings.retained_entries);
        self.draft.snapshot = Some(snapshot);
    }

    /// Adds a chunk that continues the data so far; returns the length of that data.
    fn take_chunk(&mut self, from: &Member, chunk: &SnapshotChunk) -> u64 {
        let leader_term = self.hard_state.term;
        let continues = self.installation.as_ref().is_some_and(|known| {
            known.leader == *from && known.leader_term == leader_term && known.index == chunk.index
        });
        if !continues {
            self.installation = Some(Installation {
                data: Vec::new(),
                index: chunk.index,
                leader: from.clone(),
                leader_term,
            });
        }
        let installation = self.installation.as_mut().expect("set above");
        if installation.data.len() as u64 == chunk.offset_bytes {
            installation.data.extend_from_slice(&chunk.data);
        }
        installation.data.len() as u64
    }

    fn install(&mut self, chunk: SnapshotChunk) {
        let installation = self.installation.take().expect("every chunk was taken");
        let snapshot = Arc::new(Snapshot {
            at_ms: chunk.at_ms,
            data: installation.data,
            index: chunk.index,
            membership: chunk.membership,
            term: chunk.term,
        });
        self.draft.discards_log = self.log.reset(snapshot.clone());
        if self.draft.discards_log {
            self.writes.truncate(LogIndex(snapshot.index.0 + 1));
        }
        self.commit = snapshot.index;
        self.draft.snapshot = Some(snapshot);
        self.draft.restore = true;
    }

    fn answer_installed(&mut self, to: &Member, matched: LogIndex, round: u64) {
        let result = AppendResult::Matched { matched };
        let answer = AppendAnswer { result, round };
        self.hold(to, Message::AppendAnswer(answer));
    }
}
