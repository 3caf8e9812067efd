use crate::frame::FRAME_PAYLOAD_BYTES_MAX;
use crate::opening::{open_identity, recover_segments, recover_snapshots};
use crate::recovery::Recovery;
use crate::segment::Segment;
use crate::snapshot::{self, SnapshotName};
use crate::{
    Error, FolderStorage, Record, RecoveredGroup, SnapshotRecord, Storage, StorageIdentity,
    TruncatedTail, frame,
};

/// What a journal is configured with.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// Instance that the folder belongs to.
    pub instance: String,
    /// Length at which a new segment is started.
    pub segment_bytes_max: u64,
}

impl JournalSettings {
    /// Settings with the default sizes.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            segment_bytes_max: 8 * 1024 * 1024,
        }
    }
}

/// A running journal and what it recovered.
#[derive(Debug)]
pub struct OpenedJournal {
    /// Unfinished write that was cut off, if any.
    pub truncated_tail: Option<TruncatedTail>,
    /// Groups that have records, sorted by number.
    pub groups: Vec<RecoveredGroup>,
    /// The journal.
    pub journal: Journal,
}

/// Latest state of a group, repeated at the start of each segment.
#[derive(Debug)]
struct GroupHead {
    group: u32,
    snapshot_index: u64,
    state: Option<Record>,
}

/// Log files and snapshots of one data folder.
#[derive(Debug)]
pub struct Journal {
    failure: Option<String>,
    heads: Vec<GroupHead>,
    identity: StorageIdentity,
    pending: Vec<Record>,
    segments: Vec<Segment>,
    settings: JournalSettings,
    storage: Box<dyn Storage>,
}

impl Journal {
    /// Opens the journal in a folder, which is made if it does not exist.
    ///
    /// # Errors
    ///
    /// Refuses a folder in use, of another instance, or with damaged or missing files.
    pub fn open(
        folder: &std::path::Path,
        settings: JournalSettings,
    ) -> Result<OpenedJournal, Error> {
        Self::open_with_storage(Box::new(FolderStorage::open(folder)?), settings)
    }

    /// Opens the journal on any storage.
    ///
    /// # Errors
    ///
    /// Refuses files of another instance, and damaged or missing files.
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
        let heads = groups.iter().map(GroupHead::new).collect();
        let mut journal = Self {
            failure: None,
            heads,
            identity,
            pending: Vec::new(),
            segments,
            settings,
            storage,
        };
        if journal.identity.newest_segment < journal.active().number {
            journal.record_newest_segment()?;
        }
        Ok(OpenedJournal {
            truncated_tail,
            groups,
            journal,
        })
    }

    /// Whom the folder belongs to.
    #[must_use]
    pub fn identity(&self) -> &StorageIdentity {
        &self.identity
    }

    /// Collects a record for the next sync; drops it after a failure, which that sync reports.
    pub fn append(&mut self, record: Record) {
        if self.failure.is_none() {
            self.pending.push(record);
        }
    }

    /// Makes everything appended so far durable, with one sync.
    ///
    /// # Errors
    ///
    /// After any error the journal accepts nothing more.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_works()?;
        let result = self.write_pending();
        self.remember_failure(result)
    }

    /// Makes everything appended so far and a snapshot durable, then removes what it replaces.
    ///
    /// # Errors
    ///
    /// After any error the journal accepts nothing more.
    pub fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        self.sync()?;
        let result = self.replace_snapshot(snapshot);
        self.remember_failure(result)
    }

    fn check_works(&self) -> Result<(), Error> {
        match &self.failure {
            Some(cause) => Err(Error::Poisoned {
                cause: cause.clone(),
            }),
            None => Ok(()),
        }
    }

    fn remember_failure(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }

    fn active(&mut self) -> &mut Segment {
        self.segments.last_mut().expect("a segment is open")
    }

    fn write_pending(&mut self) -> Result<(), Error> {
        let records = std::mem::take(&mut self.pending);
        if records.is_empty() {
            return Ok(());
        }
        self.write_frames(&records)?;
        for record in records {
            self.note(record);
        }
        if self.active().length_bytes >= self.settings.segment_bytes_max {
            self.rotate()?;
        }
        Ok(())
    }

    /// Writes records as one frame, or as several, each synced, where one would be too large.
    fn write_frames(&mut self, records: &[Record]) -> Result<(), Error> {
        let payload = postcard::to_stdvec(records).expect("records can be encoded");
        if payload.len() <= FRAME_PAYLOAD_BYTES_MAX {
            return self.write_frame(&payload);
        }
        if records.len() == 1 {
            let length_bytes = payload.len();
            return Err(Error::TooLarge { length_bytes });
        }
        let (first, second) = records.split_at(records.len() / 2);
        self.write_frames(first)?;
        self.write_frames(second)
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), Error> {
        let bytes = frame::encode(self.active().place(), payload);
        let file = self.active().file();
        self.storage
            .append(&file, &bytes)
            .map_err(|source| Error::io("append to", &file, source))?;
        self.storage
            .sync(&file)
            .map_err(|source| Error::io("sync", &file, source))?;
        self.active().length_bytes += bytes.len() as u64;
        Ok(())
    }

    fn note(&mut self, record: Record) {
        self.active().note(&record);
        if let Record::State(state) = record {
            let group = state.group;
            self.head(group).state = Some(Record::State(state));
        }
    }

    fn head(&mut self, group: u32) -> &mut GroupHead {
        let found = self.heads.binary_search_by_key(&group, |head| head.group);
        let at = found.unwrap_or_else(|at| {
            self.heads.insert(
                at,
                GroupHead {
                    group,
                    snapshot_index: 0,
                    state: None,
                },
            );
            at
        });
        &mut self.heads[at]
    }

    /// Starts a new segment, which repeats every group's state.
    fn rotate(&mut self) -> Result<(), Error> {
        let number = self.active().number + 1;
        self.segments.push(Segment::new(number));
        let states: Vec<Record> = self
            .heads
            .iter()
            .filter_map(|head| head.state.clone())
            .collect();
        self.write_frames(&states)?;
        self.record_newest_segment()?;
        self.remove_replaced_segments()
    }

    fn record_newest_segment(&mut self) -> Result<(), Error> {
        self.identity.newest_segment = self.active().number;
        self.identity.write(self.storage.as_mut())
    }

    fn replace_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        let replaced_index = self.head(snapshot.group).snapshot_index;
        snapshot::write(self.storage.as_mut(), snapshot)?;
        self.head(snapshot.group).snapshot_index = snapshot.index;
        if replaced_index > 0 && replaced_index < snapshot.index {
            let replaced = SnapshotName {
                group: snapshot.group,
                index: replaced_index,
            };
            self.remove(&replaced.file())?;
        }
        self.remove_replaced_segments()
    }

    fn remove_replaced_segments(&mut self) -> Result<(), Error> {
        while self.segments.len() > 1 {
            let heads = &self.heads;
            let snapshot_index = |group: u32| {
                let found = heads.binary_search_by_key(&group, |head| head.group);
                found.map_or(0, |at| heads[at].snapshot_index)
            };
            if !self.segments[0].is_replaced(snapshot_index) {
                return Ok(());
            }
            let file = self.segments[0].file();
            self.remove(&file)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), Error> {
        self.storage
            .remove(file)
            .map_err(|source| Error::io("remove", file, source))
    }
}

impl GroupHead {
    fn new(group: &RecoveredGroup) -> Self {
        let snapshot = group.snapshot.as_ref();
        Self {
            group: group.group,
            snapshot_index: snapshot.map_or(0, |snapshot| snapshot.index),
            state: group.state_record(),
        }
    }
}
