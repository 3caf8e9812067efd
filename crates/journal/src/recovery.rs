use crate::{EntryRecord, Error, Record, SnapshotRecord, StateRecord};

/// Unfinished write that was cut off the last segment.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct TruncatedTail {
    /// Name of the segment.
    pub file: String,
    /// Bytes cut off.
    pub length_bytes: u64,
    /// Where they began.
    pub offset_bytes: u64,
}

/// Durable state of one group.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct RecoveredGroup {
    /// Consecutive entries after the snapshot.
    pub entries: Vec<EntryRecord>,
    /// Number of the group.
    pub group: u32,
    /// Newest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// Latest state.
    pub state: Option<Vec<u8>>,
}

/// Groups as their records are read, sorted by number.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    groups: Vec<RecoveredGroup>,
}

impl Recovery {
    pub(crate) fn take(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Discard { group } => self.group(group).entries.clear(),
            Record::Entry(entry) => return self.group(entry.group).take_entry(entry),
            Record::State(state) => self.group(state.group).state = Some(state.payload),
        }
        Ok(())
    }

    pub(crate) fn take_snapshot(&mut self, snapshot: SnapshotRecord) {
        let group = self.group(snapshot.group);
        group.snapshot = Some(snapshot);
    }

    /// Drops what the snapshots replace.
    pub(crate) fn finish(mut self) -> Result<Vec<RecoveredGroup>, Error> {
        for group in &mut self.groups {
            group.apply_snapshot()?;
        }
        Ok(self.groups)
    }

    fn group(&mut self, number: u32) -> &mut RecoveredGroup {
        let found = self
            .groups
            .binary_search_by_key(&number, |group| group.group);
        let at = found.unwrap_or_else(|at| {
            let group = RecoveredGroup {
                group: number,
                ..RecoveredGroup::default()
            };
            self.groups.insert(at, group);
            at
        });
        &mut self.groups[at]
    }
}

impl RecoveredGroup {
    pub(crate) fn state_record(&self) -> Option<Record> {
        let payload = self.state.clone()?;
        let group = self.group;
        Some(Record::State(StateRecord { group, payload }))
    }

    fn take_entry(&mut self, entry: EntryRecord) -> Result<(), String> {
        let kept = self
            .entries
            .partition_point(|known| known.index < entry.index);
        self.entries.truncate(kept);
        if let Some(last) = self.entries.last()
            && last.index + 1 != entry.index
        {
            return Err(format!(
                "entry {} of group {} follows entry {}",
                entry.index, entry.group, last.index
            ));
        }
        self.entries.push(entry);
        Ok(())
    }

    fn apply_snapshot(&mut self) -> Result<(), Error> {
        let (index, term) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let (Some(first), Some(last)) = (self.entries.first(), self.entries.last()) else {
            return Ok(());
        };
        if first.index > index + 1 {
            return Err(Error::Missing {
                file: format!("snapshot of group {} up to {}", self.group, first.index - 1),
            });
        }
        let at_snapshot = self.entries.iter().find(|entry| entry.index == index);
        let contradicts = at_snapshot.is_some_and(|entry| entry.term != term);
        if contradicts || last.index < index {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > index);
        Ok(())
    }
}
