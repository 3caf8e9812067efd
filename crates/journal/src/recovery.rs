use crate::{EntryRecord, Error, Record, SnapshotRecord, StateRecord};

/// Incomplete write that was truncated from the end of the last segment.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct TruncatedTail {
    /// Name of the segment.
    pub file: String,
    /// Bytes removed.
    pub length_bytes: u64,
    /// Offset of the first removed byte.
    pub offset_bytes: u64,
}

/// Durable log, snapshot and state of one group.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct RecoveredGroup {
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<EntryRecord>,
    /// Number of the group.
    pub group: u32,
    /// Newest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// Payload of the latest [`StateRecord`].
    pub state: Option<Vec<u8>>,
}

/// Groups rebuilt from the records read so far, sorted by number.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    groups: Vec<RecoveredGroup>,
}

impl Recovery {
    pub(crate) fn apply_record(&mut self, record: Record) -> Result<(), String> {
        match record {
            Record::Discard { group } => self.group_mut(group).entries.clear(),
            Record::Entry(entry) => return self.group_mut(entry.group).append_entry(entry),
            Record::State(state) => self.group_mut(state.group).state = Some(state.payload),
        }
        Ok(())
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: SnapshotRecord) {
        let group = self.group_mut(snapshot.group);
        group.snapshot = Some(snapshot);
    }

    /// Removes the entries that the snapshots replace, and returns the groups.
    pub(crate) fn finish(mut self) -> Result<Vec<RecoveredGroup>, Error> {
        for group in &mut self.groups {
            group.apply_snapshot()?;
        }
        Ok(self.groups)
    }

    fn group_mut(&mut self, number: u32) -> &mut RecoveredGroup {
        let search_result = self
            .groups
            .binary_search_by_key(&number, |group| group.group);
        let position = search_result.unwrap_or_else(|position| {
            let group = RecoveredGroup {
                group: number,
                ..RecoveredGroup::default()
            };
            self.groups.insert(position, group);
            position
        });
        &mut self.groups[position]
    }
}

impl RecoveredGroup {
    pub(crate) fn state_record(&self) -> Option<Record> {
        let payload = self.state.clone()?;
        let group = self.group;
        Some(Record::State(StateRecord { group, payload }))
    }

    /// Appends an entry after removing the entries at and after its index.
    fn append_entry(&mut self, entry: EntryRecord) -> Result<(), String> {
        let kept_count = self
            .entries
            .partition_point(|known| known.index < entry.index);
        self.entries.truncate(kept_count);
        if let Some(last) = self.entries.last()
            && last.index + 1 != entry.index
        {
            return Err(format!(
                "entry {} of group {} does not follow entry {} directly",
                entry.index, entry.group, last.index
            ));
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Removes the entries up to the snapshot, or all if its term conflicts with the log.
    fn apply_snapshot(&mut self) -> Result<(), Error> {
        let (index, term) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let (Some(first), Some(last)) = (self.entries.first(), self.entries.last()) else {
            return Ok(());
        };
        if first.index > index + 1 {
            return Err(Error::FileMissing {
                file: format!("snapshot of group {} up to {}", self.group, first.index - 1),
            });
        }
        let at_snapshot = self.entries.iter().find(|entry| entry.index == index);
        let has_term_conflict = at_snapshot.is_some_and(|entry| entry.term != term);
        if has_term_conflict || last.index < index {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > index);
        Ok(())
    }
}
