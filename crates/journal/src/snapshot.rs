use serde::{Deserialize, Serialize};

use crate::frame::{FRAME_PAYLOAD_BYTES_MAX, FramePosition};
use crate::segment::read_single_frame;
use crate::{Error, Storage, frame};

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";

/// Snapshot of a group: replaces the log entries up to its index.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRecord {
    /// Number of the group.
    pub group: u32,
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Encoded snapshot; opaque to the journal.
    pub payload: Vec<u8>,
    /// Term of the entry at `index`.
    pub term: u64,
}

/// Group and index in the name of a snapshot file; the order is by group, then index.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SnapshotName {
    pub(crate) group: u32,
    pub(crate) index: u64,
}

impl SnapshotName {
    pub(crate) fn parse(file: &str) -> Option<Self> {
        let (group, index) = file
            .strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .split_once('-')?;
        Some(Self {
            group: group.parse().ok()?,
            index: index.parse().ok()?,
        })
    }

    pub(crate) fn file_name(self) -> String {
        format!("{PREFIX}{}-{:020}{SUFFIX}", self.group, self.index)
    }

    /// The log index takes the place of the offset, which is 0 in every snapshot file.
    fn position(self) -> FramePosition {
        FramePosition {
            file_number: u64::from(self.group) << 32 | u64::from(u32::MAX),
            offset_bytes: self.index,
        }
    }
}

pub(crate) fn read(storage: &dyn Storage, name: SnapshotName) -> Result<SnapshotRecord, Error> {
    read_single_frame(storage, &name.file_name(), name.position())
}

pub(crate) fn write(storage: &mut dyn Storage, snapshot: &SnapshotRecord) -> Result<(), Error> {
    let name = SnapshotName {
        group: snapshot.group,
        index: snapshot.index,
    };
    let payload = postcard::to_stdvec(snapshot).expect("a snapshot can be encoded");
    if payload.len() > FRAME_PAYLOAD_BYTES_MAX {
        let length_bytes = payload.len();
        return Err(Error::RecordTooLarge { length_bytes });
    }
    storage
        .replace(&name.file_name(), &frame::encode(name.position(), &payload))
        .map_err(|source| Error::io("write", &name.file_name(), source))
}
