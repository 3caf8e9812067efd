use serde::{Deserialize, Serialize};

use crate::frame::FramePosition;
use crate::segment::read_single_frame;
use crate::{Error, Storage, frame};

pub(crate) const IDENTITY_FILE: &str = "identity";

const IDENTITY_POSITION: FramePosition = FramePosition {
    file_number: u64::MAX,
    offset_bytes: 0,
};

/// Instance that a data folder belongs to, and the folder's random id.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorageIdentity {
    /// Name of the instance.
    pub instance: String,
    /// Number of the newest segment; a folder without it is refused.
    pub(crate) newest_segment: u64,
    /// Random id, generated when the folder is created.
    pub storage_id: u128,
}

impl StorageIdentity {
    pub(crate) fn read(storage: &dyn Storage) -> Result<Self, Error> {
        read_single_frame(storage, IDENTITY_FILE, IDENTITY_POSITION)
    }

    pub(crate) fn write(&self, storage: &mut dyn Storage) -> Result<(), Error> {
        let payload = postcard::to_stdvec(self).expect("an identity can be encoded");
        storage
            .replace(IDENTITY_FILE, &frame::encode(IDENTITY_POSITION, &payload))
            .map_err(|source| Error::io("write", IDENTITY_FILE, source))
    }
}
