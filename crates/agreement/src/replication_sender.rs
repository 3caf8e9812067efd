use names::LogIndex;

use crate::log::Log;
use crate::progress::{FollowerProgress, ReplicationMode};
use crate::{
    AppendEntries, Entry, Envelope, Member, Message, Output, Settings, SnapshotChunk, Term,
};

/// Sends the leader's log, snapshot and heartbeats to followers.
pub(crate) struct ReplicationSender<'a> {
    pub(crate) commit_index: LogIndex,
    pub(crate) confirmation_round: u64,
    pub(crate) log: &'a Log,
    pub(crate) outputs: &'a mut Vec<Output>,
    pub(crate) settings: &'a Settings,
    pub(crate) term: Term,
}

impl ReplicationSender<'_> {
    /// Sends pending entries or snapshot chunks, as far as the follower's window allows.
    pub(crate) fn send_pending(&mut self, follower: &mut FollowerProgress) {
        match follower.mode {
            ReplicationMode::Probe {
                is_awaiting_response: false,
            } => self.send_probe(follower),
            ReplicationMode::Replicate => self.send_entries(follower),
            ReplicationMode::Snapshot {
                is_awaiting_response: false,
                ..
            } => self.send_next_chunk(follower),
            ReplicationMode::Probe {
                is_awaiting_response: true,
            }
            | ReplicationMode::Snapshot {
                is_awaiting_response: true,
                ..
            } => {}
        }
    }

    /// Sends at least one message, even if a response is outstanding.
    pub(crate) fn send_heartbeat(&mut self, follower: &mut FollowerProgress) {
        follower.resume_probe();
        let outputs_before = self.outputs.len();
        self.send_pending(follower);
        if self.outputs.len() > outputs_before {
            return;
        }
        match follower.mode {
            ReplicationMode::Snapshot { .. } => self.send_chunk(follower, 0),
            ReplicationMode::Probe { .. } | ReplicationMode::Replicate => {
                self.send_append(follower, Vec::new());
            }
        }
    }

    fn send_probe(&mut self, follower: &mut FollowerProgress) {
        follower.mode = ReplicationMode::Probe {
            is_awaiting_response: true,
        };
        self.send_append(follower, Vec::new());
    }

    fn send_entries(&mut self, follower: &mut FollowerProgress) {
        while matches!(follower.mode, ReplicationMode::Replicate)
            && follower.next_index <= self.log.last_index()
            && follower.in_flight_bytes() < self.settings.in_flight_bytes_max
        {
            let entries = self
                .log
                .entries_from(follower.next_index, self.settings.append_bytes_max);
            self.send_append(follower, entries);
        }
        let is_replicating = matches!(follower.mode, ReplicationMode::Replicate);
        if is_replicating
            && follower.has_empty_window()
            && follower.commit_index_sent < self.commit_index
        {
            self.send_append(follower, Vec::new());
        }
    }

    /// Sends entries, or a snapshot if the log no longer holds the entry before them.
    fn send_append(&mut self, follower: &mut FollowerProgress, entries: Vec<Entry>) {
        let previous_index = LogIndex(follower.next_index.0 - 1);
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.start_snapshot(follower);
            return;
        };
        if let Some(last) = entries.last() {
            let length_bytes = entries.iter().map(Entry::length_bytes).sum();
            follower.record_sent(last.index, length_bytes);
        }
        follower.commit_index_sent = self.commit_index;
        let append = AppendEntries {
            commit_index: self.commit_index,
            entries,
            previous_index,
            previous_term,
            confirmation_round: self.confirmation_round,
        };
        self.send(&follower.member, Message::AppendEntries(append));
    }

    fn start_snapshot(&mut self, follower: &mut FollowerProgress) {
        let snapshot = self
            .log
            .snapshot()
            .expect("a log that dropped entries has a snapshot");
        follower.start_snapshot(snapshot.clone());
        self.send_next_chunk(follower);
    }

    fn send_next_chunk(&mut self, follower: &mut FollowerProgress) {
        self.send_chunk(follower, self.settings.snapshot_chunk_bytes);
    }

    /// Sends a chunk of at most `bytes_max`; an empty one makes the follower report its offset.
    fn send_chunk(&mut self, follower: &mut FollowerProgress, bytes_max: usize) {
        let ReplicationMode::Snapshot {
            is_awaiting_response,
            offset_bytes,
            snapshot,
        } = &mut follower.mode
        else {
            return;
        };
        *is_awaiting_response = true;
        let start = usize::try_from(*offset_bytes).expect("snapshot fits memory");
        let end = (start + bytes_max).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            timestamp_ms: snapshot.timestamp_ms,
            data: snapshot.data[start..end].to_vec(),
            index: snapshot.index,
            length_bytes: snapshot.data.len() as u64,
            membership: snapshot.membership.clone(),
            offset_bytes: *offset_bytes,
            confirmation_round: self.confirmation_round,
            term: snapshot.term,
        };
        self.send(&follower.member, Message::SnapshotChunk(chunk));
    }

    fn send(&mut self, to: &Member, message: Message) {
        self.outputs.push(Output::Send(Envelope {
            from: self.settings.member.clone(),
            group: self.settings.group,
            message,
            term: self.term,
            to: to.name.clone(),
            to_storage: Some(to.storage),
        }));
    }
}
