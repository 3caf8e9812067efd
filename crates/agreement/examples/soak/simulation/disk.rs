use std::collections::VecDeque;

use agreement::{Entry, HardState, Recovered, Snapshot, Synced, Write};
use names::LogIndex;

/// Durable state of one node, and the writes that are not durable yet.
#[derive(Default)]
pub struct Disk {
    entries: Vec<Entry>,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    unsynced: VecDeque<Write>,
}

impl Disk {
    pub fn write(&mut self, write: Write) {
        self.unsynced.push_back(write);
    }

    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Makes the oldest writes durable.
    pub fn sync(&mut self, count: usize) -> Vec<Synced> {
        let writes: Vec<Write> = self.unsynced.drain(..count).collect();
        for write in &writes {
            self.apply(write);
        }
        writes.into_iter().map(Write::synced).collect()
    }

    /// Loses every write but the first few, as a crash does.
    pub fn crash(&mut self, kept: usize) {
        self.sync(kept);
        self.unsynced.clear();
    }

    pub fn recover(&self) -> Recovered {
        Recovered {
            entries: self.entries.clone(),
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
        }
    }

    /// Entries after the snapshot as they will be once every write is durable.
    pub fn view(&self) -> (LogIndex, Vec<Entry>) {
        let mut view = Self {
            entries: self.entries.clone(),
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            unsynced: VecDeque::new(),
        };
        for write in &self.unsynced {
            view.apply(write);
        }
        (view.base(), view.entries)
    }

    fn base(&self) -> LogIndex {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    fn apply(&mut self, write: &Write) {
        if let Some(hard_state) = &write.hard_state {
            assert!(
                hard_state.term >= self.hard_state.term,
                "terms never decrease"
            );
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &write.snapshot {
            self.take_snapshot(snapshot, write.discards_log);
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            let next = self.entries.last().map_or(self.base(), |last| last.index).0 + 1;
            assert_eq!(first.index.0, next, "the log on disk has no gap");
            self.entries.extend_from_slice(&write.entries);
        }
    }

    fn take_snapshot(&mut self, snapshot: &Snapshot, discards_log: bool) {
        if discards_log {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot.clone());
    }
}
