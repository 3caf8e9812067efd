use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, Item, ItemId, OperatorName, Problem, Revision, Row, RowKey, VersionedItem};

const EDIT_ID_BYTES_MAX: usize = 64;

/// One change of an edit: sets or deletes an item that is at the expected revision.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemChange {
    /// Revision that the item must have; [`Revision::ABSENT`] when it must not exist.
    pub expected_revision: Revision,
    /// The new item, or none to delete it.
    pub item: Option<Item>,
    /// What is changed.
    pub item_id: ItemId,
}

impl ItemChange {
    /// A change of one row.
    #[must_use]
    pub fn row(key: RowKey, expected_revision: Revision, row: Option<Row>) -> Self {
        Self {
            expected_revision,
            item: row.map(Item::Row),
            item_id: ItemId::Row(key),
        }
    }
}

/// SHA-256 of what an edit changes.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ContentDigest([u8; 32]);

/// Changes that are accepted together or not at all.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Who made it.
    pub author: OperatorName,
    /// What it changes.
    pub changes: Vec<ItemChange>,
    /// Names the edit, so that it can be sent again after a lost answer.
    pub edit_id: EditId,
    /// Digest of the file from which the changes were worked out.
    ///
    /// An edit that is worked out again from the same file has other changes, yet is the same edit.
    pub source: Option<SourceDigest>,
}

impl Edit {
    /// Digest of what makes two edits with one id the same.
    pub(crate) fn content(&self) -> ContentDigest {
        let encoded = match &self.source {
            Some(source) => postcard::to_allocvec(&(&self.author, source)),
            None => postcard::to_allocvec(&(&self.author, &self.changes)),
        };
        let bytes = encoded.expect("edits encode without failure");
        ContentDigest(Sha256::digest(&bytes).into())
    }

    pub(crate) fn length_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).expect("edits encode without failure")
    }
}

/// Name of an edit, chosen by its sender: 1 to 64 ASCII letters, digits, `.`, `_` or `-`.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct EditId(Box<str>);

impl EditId {
    /// Checks and takes an edit id.
    ///
    /// # Errors
    ///
    /// Refuses an empty or long id and characters that ids may not hold.
    pub fn new(id: &str) -> Result<Self, Error> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
        if id.is_empty() || id.len() > EDIT_ID_BYTES_MAX || !id.bytes().all(is_allowed) {
            return Err(Error::EditId {
                id: id.chars().take(EDIT_ID_BYTES_MAX).collect(),
            });
        }
        Ok(Self(id.into()))
    }

    /// The id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for EditId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<EditId> for String {
    fn from(id: EditId) -> Self {
        id.0.into()
    }
}

impl FromStr for EditId {
    type Err = Error;

    fn from_str(id: &str) -> Result<Self, Error> {
        Self::new(id)
    }
}

impl TryFrom<String> for EditId {
    type Error = Error;

    fn try_from(id: String) -> Result<Self, Error> {
        Self::new(&id)
    }
}

/// SHA-256 of a file from which an edit was worked out.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceDigest([u8; 32]);

impl SourceDigest {
    /// Digest of a file.
    #[must_use]
    pub fn of(file: &[u8]) -> Self {
        Self(Sha256::digest(file).into())
    }
}

/// Answer to an edit.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum EditOutcome {
    /// Every change took effect at this revision.
    Accepted {
        /// Revision of the changed items.
        revision: Revision,
    },
    /// Too many answers are kept; nothing changed, and the same edit may be sent again later.
    Busy {
        /// Time until room is made.
        retry_after_ms: u64,
    },
    /// Some items are not at the expected revision; nothing changed.
    Conflict {
        /// Present state of such items, at most [`CONFLICTS_LISTED_MAX`](crate::CONFLICTS_LISTED_MAX).
        current: Vec<VersionedItem>,
    },
    /// The edit id was used before for an edit with another content; nothing changed.
    IdReused,
    /// Some changes break a rule; nothing changed.
    Invalid {
        /// Broken rules, at most [`PROBLEMS_LISTED_MAX`](crate::PROBLEMS_LISTED_MAX).
        problems: Vec<Problem>,
    },
}
