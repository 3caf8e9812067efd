use crate::frame::FRAME_PAYLOAD_BYTES_MAX;
use crate::open::{open_identity, recover_segments, recover_snapshots};
use crate::recovery::Recovery;
use crate::segment::Segment;
use crate::snapshot::{self, SnapshotName};
use crate::{
    Error, FolderStorage, Record, RecoveredGroup, SnapshotRecord, Storage, StorageIdentity,
    TruncatedTail, frame,
};

/// Settings of a journal.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// Instance that the folder belongs to.
    pub instance: String,
    /// Length of a segment at which the next one is started.
    pub segment_bytes_max: u64,
}

impl JournalSettings {
    /// Settings with the default segment length.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            segment_bytes_max: 8 * 1024 * 1024,
        }
    }
}

/// An open journal and the records that it recovered.
#[derive(Debug)]
pub struct OpenedJournal {
    /// Groups that have records, sorted by number.
    pub groups: Vec<RecoveredGroup>,
    /// The journal, ready for new records.
    pub journal: Journal,
    /// Incomplete write that was truncated, if any.
    pub truncated_tail: Option<TruncatedTail>,
}

/// State record and snapshot index of one group.
///
/// The state record is repeated at the start of each segment, so that older ones can be removed.
#[derive(Debug)]
struct GroupState {
    group: u32,
    snapshot_index: u64,
    state_record: Option<Record>,
}

/// Journal of one data folder: segment files and snapshots.
#[derive(Debug)]
pub struct Journal {
    /// Text of the first failed write or sync.
    failure: Option<String>,
    group_states: Vec<GroupState>,
    identity: StorageIdentity,
    pending_records: Vec<Record>,
    segments: Vec<Segment>,
    settings: JournalSettings,
    storage: Box<dyn Storage>,
}

impl Journal {
    /// Opens the journal in a folder; creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, if it belongs to another instance, or if files are
    /// damaged or missing.
    pub fn open(
        folder: &std::path::Path,
        settings: JournalSettings,
    ) -> Result<OpenedJournal, Error> {
        Self::open_with_storage(Box::new(FolderStorage::open(folder)?), settings)
    }

    /// Opens the journal in a given storage.
    ///
    /// # Errors
    ///
    /// Fails if the files belong to another instance, or are damaged or missing.
    pub fn open_with_storage(
        mut storage: Box<dyn Storage>,
        settings: JournalSettings,
    ) -> Result<OpenedJournal, Error> {
        let files = storage
            .list()
            .map_err(|source| Error::io("list", "data folder", source))?;
        let identity = open_identity(storage.as_mut(), &files, &settings)?;
        let mut recovery = Recovery::default();
        let (segments, truncated_tail) =
            recover_segments(storage.as_mut(), &files, &identity, &mut recovery)?;
        recover_snapshots(storage.as_mut(), &files, &mut recovery)?;
        let groups = recovery.finish()?;
        let group_states = groups.iter().map(GroupState::new).collect();
        let mut journal = Self {
            failure: None,
            group_states,
            identity,
            pending_records: Vec::new(),
            segments,
            settings,
            storage,
        };
        if journal.identity.newest_segment < journal.active_segment().number {
            journal.record_newest_segment()?;
        }
        Ok(OpenedJournal {
            groups,
            journal,
            truncated_tail,
        })
    }

    /// Instance and id of the data folder.
    #[must_use]
    pub fn identity(&self) -> &StorageIdentity {
        &self.identity
    }

    /// Adds a record to the next [`Journal::sync`].
    ///
    /// After a failure the record is dropped, and the next sync reports the failure.
    pub fn append(&mut self, record: Record) {
        if self.failure.is_none() {
            self.pending_records.push(record);
        }
    }

    /// Makes all appended records durable, with one sync.
    ///
    /// # Errors
    ///
    /// After any error the journal accepts no more records.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_not_failed()?;
        let result = self.write_pending_records();
        self.record_failure(result)
    }

    /// Makes all appended records and a snapshot durable, then removes the files that the snapshot
    /// replaces.
    ///
    /// # Errors
    ///
    /// After any error the journal accepts no more records.
    pub fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        self.sync()?;
        let result = self.write_snapshot(snapshot);
        self.record_failure(result)
    }

    fn check_not_failed(&self) -> Result<(), Error> {
        match &self.failure {
            Some(cause) => Err(Error::Poisoned {
                cause: cause.clone(),
            }),
            None => Ok(()),
        }
    }

    fn record_failure(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }

    fn active_segment(&mut self) -> &mut Segment {
        self.segments.last_mut().expect("there is always a segment")
    }

    fn write_pending_records(&mut self) -> Result<(), Error> {
        let records = std::mem::take(&mut self.pending_records);
        if records.is_empty() {
            return Ok(());
        }
        self.write_frames(&records)?;
        for record in records {
            self.track_record(record);
        }
        if self.active_segment().length_bytes >= self.settings.segment_bytes_max {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Writes and syncs records as one frame, or as several if one would be too large.
    fn write_frames(&mut self, records: &[Record]) -> Result<(), Error> {
        let payload = postcard::to_stdvec(records).expect("records can be encoded");
        if payload.len() <= FRAME_PAYLOAD_BYTES_MAX {
            return self.write_frame(&payload);
        }
        if records.len() == 1 {
            let length_bytes = payload.len();
            return Err(Error::RecordTooLarge { length_bytes });
        }
        let (first, second) = records.split_at(records.len() / 2);
        self.write_frames(first)?;
        self.write_frames(second)
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), Error> {
        let bytes = frame::encode(self.active_segment().position(), payload);
        let file = self.active_segment().file_name();
        self.storage
            .append(&file, &bytes)
            .map_err(|source| Error::io("append to", &file, source))?;
        self.storage
            .sync(&file)
            .map_err(|source| Error::io("sync", &file, source))?;
        self.active_segment().length_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Updates the active segment and the group's state for a written record.
    fn track_record(&mut self, record: Record) {
        self.active_segment().track_record(&record);
        if let Record::State(state) = record {
            let group = state.group;
            self.group_state(group).state_record = Some(Record::State(state));
        }
    }

    fn group_state(&mut self, group: u32) -> &mut GroupState {
        let search_result = self
            .group_states
            .binary_search_by_key(&group, |known| known.group);
        let position = search_result.unwrap_or_else(|position| {
            self.group_states.insert(
                position,
                GroupState {
                    group,
                    snapshot_index: 0,
                    state_record: None,
                },
            );
            position
        });
        &mut self.group_states[position]
    }

    /// Starts a new segment with the state of every group.
    fn start_segment(&mut self) -> Result<(), Error> {
        let number = self.active_segment().number + 1;
        self.segments.push(Segment::new(number));
        let states: Vec<Record> = self
            .group_states
            .iter()
            .filter_map(|group| group.state_record.clone())
            .collect();
        self.write_frames(&states)?;
        self.record_newest_segment()?;
        self.remove_covered_segments()
    }

    fn record_newest_segment(&mut self) -> Result<(), Error> {
        self.identity.newest_segment = self.active_segment().number;
        self.identity.write(self.storage.as_mut())
    }

    fn write_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        let previous_index = self.group_state(snapshot.group).snapshot_index;
        snapshot::write(self.storage.as_mut(), snapshot)?;
        self.group_state(snapshot.group).snapshot_index = snapshot.index;
        if previous_index > 0 && previous_index < snapshot.index {
            let replaced = SnapshotName {
                group: snapshot.group,
                index: previous_index,
            };
            self.remove_file(&replaced.file_name())?;
        }
        self.remove_covered_segments()
    }

    fn remove_covered_segments(&mut self) -> Result<(), Error> {
        while self.segments.len() > 1 {
            let group_states = &self.group_states;
            let snapshot_index = |group: u32| {
                let search_result = group_states.binary_search_by_key(&group, |known| known.group);
                search_result.map_or(0, |position| group_states[position].snapshot_index)
            };
            if !self.segments[0].is_covered(snapshot_index) {
                return Ok(());
            }
            let file = self.segments[0].file_name();
            self.remove_file(&file)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn remove_file(&mut self, file: &str) -> Result<(), Error> {
        self.storage
            .remove(file)
            .map_err(|source| Error::io("remove", file, source))
    }
}

impl GroupState {
    fn new(group: &RecoveredGroup) -> Self {
        let snapshot = group.snapshot.as_ref();
        Self {
            group: group.group,
            snapshot_index: snapshot.map_or(0, |snapshot| snapshot.index),
            state_record: group.state_record(),
        }
    }
}
