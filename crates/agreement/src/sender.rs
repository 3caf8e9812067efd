use names::LogIndex;

use crate::log::Log;
use crate::progress::{Mode, Progress};
use crate::{Append, Entry, Envelope, Member, Message, Output, Settings, SnapshotChunk, Term};

/// A leader's view of what it sends to followers.
pub(crate) struct Sender<'a> {
    pub(crate) commit: LogIndex,
    pub(crate) log: &'a Log,
    pub(crate) outputs: &'a mut Vec<Output>,
    pub(crate) round: u64,
    pub(crate) settings: &'a Settings,
    pub(crate) term: Term,
}

impl Sender<'_> {
    /// Sends whatever the follower's window allows.
    pub(crate) fn fill(&mut self, follower: &mut Progress) {
        match follower.mode {
            Mode::Probe { waiting: false } => self.probe(follower),
            Mode::Replicate => self.replicate(follower),
            Mode::Snapshot { waiting: false, .. } => self.send_next_chunk(follower),
            Mode::Probe { waiting: true } | Mode::Snapshot { waiting: true, .. } => {}
        }
    }

    /// Sends at least one message, also when an answer is outstanding.
    pub(crate) fn heartbeat(&mut self, follower: &mut Progress) {
        follower.resume_probe();
        let sent = self.outputs.len();
        self.fill(follower);
        if self.outputs.len() > sent {
            return;
        }
        match follower.mode {
            Mode::Snapshot { .. } => self.send_chunk(follower, 0),
            Mode::Probe { .. } | Mode::Replicate => self.append(follower, Vec::new()),
        }
    }

    fn probe(&mut self, follower: &mut Progress) {
        follower.mode = Mode::Probe { waiting: true };
        self.append(follower, Vec::new());
    }

    fn replicate(&mut self, follower: &mut Progress) {
        while matches!(follower.mode, Mode::Replicate)
            && follower.next <= self.log.last_index()
            && follower.in_flight_bytes() < self.settings.in_flight_bytes_max
        {
            let entries = self
                .log
                .entries_from(follower.next, self.settings.append_bytes_max);
            self.append(follower, entries);
        }
        let is_replicating = matches!(follower.mode, Mode::Replicate);
        if is_replicating && follower.is_idle() && follower.commit_sent < self.commit {
            self.append(follower, Vec::new());
        }
    }

    /// Sends entries, or a snapshot where the log no longer holds the entry before them.
    fn append(&mut self, follower: &mut Progress, entries: Vec<Entry>) {
        let previous_index = LogIndex(follower.next.0 - 1);
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.start_snapshot(follower);
            return;
        };
        if let Some(last) = entries.last() {
            let length_bytes = entries.iter().map(Entry::length_bytes).sum();
            follower.sent(last.index, length_bytes);
        }
        follower.commit_sent = self.commit;
        let append = Append {
            commit: self.commit,
            entries,
            previous_index,
            previous_term,
            round: self.round,
        };
        self.send(&follower.member, Message::Append(append));
    }

    fn start_snapshot(&mut self, follower: &mut Progress) {
        let snapshot = self
            .log
            .snapshot()
            .expect("a log that dropped entries has a snapshot");
        follower.start_snapshot(snapshot.clone());
        self.send_next_chunk(follower);
    }

    fn send_next_chunk(&mut self, follower: &mut Progress) {
        self.send_chunk(follower, self.settings.snapshot_chunk_bytes);
    }

    /// Sends a chunk; an empty one asks how much the follower holds.
    fn send_chunk(&mut self, follower: &mut Progress, bytes_max: usize) {
        let Mode::Snapshot {
            offset_bytes,
            snapshot,
            waiting,
        } = &mut follower.mode
        else {
            return;
        };
        *waiting = true;
        let start = usize::try_from(*offset_bytes).expect("snapshot fits memory");
        let end = (start + bytes_max).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            at_ms: snapshot.at_ms,
            data: snapshot.data[start..end].to_vec(),
            index: snapshot.index,
            length_bytes: snapshot.data.len() as u64,
            membership: snapshot.membership.clone(),
            offset_bytes: *offset_bytes,
            round: self.round,
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
