use serde::{Deserialize, Serialize};

use crate::frame::{FRAME_PAYLOAD_BYTES_MAX, Place};
use crate::segment::read_single;
use crate::{Error, Storage, frame};

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";

/// Content of a group up to a position, in place of its log before it.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRecord {
    /// Group that it belongs to.
    pub group: u32,
    /// Last position included.
    pub index: u64,
    /// Content.
    pub payload: Vec<u8>,
    /// Term of the entry at `index`.
    pub term: u64,
}

/// Name of a snapshot file, taken apart.
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

    pub(crate) fn file(self) -> String {
        format!("{PREFIX}{}-{:020}{SUFFIX}", self.group, self.index)
    }

    fn place(self) -> Place {
        Place {
            offset_bytes: self.index,
            stream: u64::from(self.group) << 32 | u64::from(u32::MAX),
        }
    }
}

pub(crate) fn read(storage: &dyn Storage, name: SnapshotName) -> Result<SnapshotRecord, Error> {
    read_single(storage, &name.file(), name.place())
}

pub(crate) fn write(storage: &mut dyn Storage, snapshot: &SnapshotRecord) -> Result<(), Error> {
    let name = SnapshotName {
        group: snapshot.group,
        index: snapshot.index,
    };
    let payload = postcard::to_stdvec(snapshot).expect("a snapshot can be encoded");
    if payload.len() > FRAME_PAYLOAD_BYTES_MAX {
        let length_bytes = payload.len();
        return Err(Error::TooLarge { length_bytes });
    }
    storage
        .replace(&name.file(), &frame::encode(name.place(), &payload))
        .map_err(|source| Error::io("write", &name.file(), source))
}
