use std::sync::Arc;

use names::LogIndex;

use super::Replica;
use crate::{
    AppendResponse, AppendResult, Member, Message, Snapshot, SnapshotChunk, SnapshotResponse, Term,
};

/// Snapshot being received in chunks.
#[derive(Debug)]
pub(super) struct SnapshotInstallation {
    data: Vec<u8>,
    index: LogIndex,
    leader: Member,
    leader_term: Term,
}

impl Replica {
    pub(super) fn on_snapshot_chunk(&mut self, from: &Member, chunk: SnapshotChunk) {
        self.accept_leader(from.clone());
        let confirmation_round = chunk.confirmation_round;
        if chunk.index <= self.commit_index {
            self.acknowledge_snapshot(from, self.commit_index, confirmation_round);
            return;
        }
        let index = chunk.index;
        let received_bytes = self.append_chunk(from, &chunk);
        if received_bytes < chunk.length_bytes {
            let response = SnapshotResponse {
                index,
                received_bytes,
                confirmation_round,
            };
            self.send_when_durable(from, Message::SnapshotResponse(response));
            return;
        }
        self.install_snapshot(chunk);
        self.acknowledge_snapshot(from, index, confirmation_round);
    }

    pub(super) fn on_compact(&mut self, data: Vec<u8>, index: LogIndex) {
        assert!(
            index <= self.applied_index,
            "a snapshot includes applied entries only"
        );
        let snapshot_index = self
            .log
            .snapshot()
            .map_or(LogIndex(0), |snapshot| snapshot.index);
        if index <= snapshot_index || index < self.log.base_index() {
            return;
        }
        let entry = self.log.entry(index).expect("applied entry is in the log");
        let snapshot = Arc::new(Snapshot {
            timestamp_ms: entry.timestamp_ms,
            data,
            index,
            membership: self.log.membership_at(index).clone(),
            term: entry.term,
        });
        self.log
            .compact(snapshot.clone(), self.settings.retained_entries);
        self.effects.snapshot = Some(snapshot);
    }

    /// Appends a chunk if it continues the received data; returns the length of that data.
    fn append_chunk(&mut self, from: &Member, chunk: &SnapshotChunk) -> u64 {
        let leader_term = self.hard_state.term;
        let is_continued = self.installation.as_ref().is_some_and(|known| {
            known.leader == *from && known.leader_term == leader_term && known.index == chunk.index
        });
        if !is_continued {
            self.installation = Some(SnapshotInstallation {
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

    fn install_snapshot(&mut self, chunk: SnapshotChunk) {
        let installation = self.installation.take().expect("every chunk was received");
        let snapshot = Arc::new(Snapshot {
            timestamp_ms: chunk.timestamp_ms,
            data: installation.data,
            index: chunk.index,
            membership: chunk.membership,
            term: chunk.term,
        });
        self.effects.discards_log = self.log.install_snapshot(snapshot.clone());
        if self.effects.discards_log {
            self.writes.truncate(LogIndex(snapshot.index.0 + 1));
        }
        self.commit_index = snapshot.index;
        self.effects.snapshot = Some(snapshot);
        self.effects.restores_state_machine = true;
    }

    fn acknowledge_snapshot(
        &mut self,
        to: &Member,
        match_index: LogIndex,
        confirmation_round: u64,
    ) {
        let result = AppendResult::Matched { match_index };
        let response = AppendResponse {
            result,
            confirmation_round,
        };
        self.send_when_durable(to, Message::AppendResponse(response));
    }
}
