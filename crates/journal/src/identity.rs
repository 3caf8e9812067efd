use serde::{Deserialize, Serialize};

use crate::frame::Place;
use crate::segment::read_single;
use crate::{Error, Storage, frame};

pub(crate) const IDENTITY_FILE: &str = "identity";

const PLACE: Place = Place {
    offset_bytes: 0,
    stream: u64::MAX,
};

/// Whom a data folder belongs to.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorageIdentity {
    /// Name of the instance.
    pub instance: String,
    /// Newest segment that must exist.
    pub(crate) newest_segment: u64,
    /// Random identity, made with the folder.
    pub storage_id: u128,
}

impl StorageIdentity {
    pub(crate) fn read(storage: &dyn Storage) -> Result<Self, Error> {
        read_single(storage, IDENTITY_FILE, PLACE)
    }

    pub(crate) fn write(&self, storage: &mut dyn Storage) -> Result<(), Error> {
        let payload = postcard::to_stdvec(self).expect("an identity can be encoded");
        storage
            .replace(IDENTITY_FILE, &frame::encode(PLACE, &payload))
            .map_err(|source| Error::io("write", IDENTITY_FILE, source))
    }
}
