use std::collections::VecDeque;

use agreement::{DurableWrite, Entry, HardState, RecoveredState, Snapshot, Write};
use names::LogIndex;

/// Simulated disk of one node: durable state, and the writes that are not durable yet.
#[derive(Default)]
pub struct SimulatedDisk {
    entries: Vec<Entry>,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    unsynced_writes: VecDeque<Write>,
}

impl SimulatedDisk {
    pub fn write(&mut self, write: Write) {
        self.unsynced_writes.push_back(write);
    }

    pub fn unsynced_write_count(&self) -> usize {
        self.unsynced_writes.len()
    }

    /// Makes the `count` oldest writes durable.
    pub fn sync(&mut self, count: usize) -> Vec<DurableWrite> {
        let writes: Vec<Write> = self.unsynced_writes.drain(..count).collect();
        for write in &writes {
            self.apply(write);
        }
        writes.into_iter().map(Write::into_durable).collect()
    }

    /// Simulates a crash: the `kept_writes` oldest writes become durable, the others are lost.
    pub fn crash(&mut self, kept_writes: usize) {
        self.sync(kept_writes);
        self.unsynced_writes.clear();
    }

    pub fn recover(&self) -> RecoveredState {
        RecoveredState {
            entries: self.entries.clone(),
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
        }
    }

    /// Index of the snapshot and the entries after it, as if every write were durable.
    pub fn snapshot_index_and_entries(&self) -> (LogIndex, Vec<Entry>) {
        let mut synced_disk = Self {
            entries: self.entries.clone(),
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            unsynced_writes: VecDeque::new(),
        };
        for write in &self.unsynced_writes {
            synced_disk.apply(write);
        }
        (synced_disk.snapshot_index(), synced_disk.entries)
    }

    fn snapshot_index(&self) -> LogIndex {
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
            self.store_snapshot(snapshot, write.discards_log);
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            let next = self
                .entries
                .last()
                .map_or(self.snapshot_index(), |last| last.index)
                .0
                + 1;
            assert_eq!(first.index.0, next, "the log on disk has no gap");
            self.entries.extend_from_slice(&write.entries);
        }
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot, discards_log: bool) {
        if discards_log {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot.clone());
    }
}
