use std::fmt::{self, Display, Formatter};

use names::InstanceName;
use serde::{Deserialize, Serialize};

/// Random identity of a data folder, generated when the folder is created.
///
/// A wiped folder gets a new identity, so it cannot vote or acknowledge under its old one.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StorageId(pub u128);

impl Display for StorageId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Member of a group: an instance with the identity of its data folder.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Identity of its data folder.
    pub storage: StorageId,
}

impl Display for Member {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.storage)
    }
}
