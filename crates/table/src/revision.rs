use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

use names::LogIndex;
use serde::{Deserialize, Serialize};

/// Version of the table or of one item: the log index of the edit that last changed it.
#[derive(
    Debug, Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of an item that does not exist, and of an empty table.
    pub const ABSENT: Self = Self(0);
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl From<LogIndex> for Revision {
    fn from(index: LogIndex) -> Self {
        Self(index.0)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
