use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, Item, ItemId, OperatorName, Problem, Revision, Row, RowKey, VersionedItem};

const EDIT_ID_BYTES_MAX: usize = 64;

/// One change of an edit: sets or deletes an item if it is at the expected revision.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemChange {
    /// Revision that the item must have; [`Revision::ABSENT`] if it must not exist.
    pub expected_revision: Revision,
    /// New content; `None` to delete the item.
    pub item: Option<Item>,
    /// Item to change.
    pub item_id: ItemId,
}

impl ItemChange {
    /// Sets one row, or deletes it if `row` is `None`.
    #[must_use]
    pub fn row(key: RowKey, expected_revision: Revision, row: Option<Row>) -> Self {
        Self {
            expected_revision,
            item: row.map(Item::Row),
            item_id: ItemId::Row(key),
        }
    }
}

/// SHA-256 that identifies the content of an edit; see [`Edit::content_digest`].
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ContentDigest([u8; 32]);

/// Changes that are applied atomically.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Operator who made the edit.
    pub author: OperatorName,
    /// Changes, at most one for each item.
    pub changes: Vec<ItemChange>,
    /// Idempotency key, with which the client resends the edit after a lost answer.
    pub edit_id: EditId,
    /// Digest of the CSV file from which the changes were computed.
    ///
    /// The same file gives other changes once the table has changed, but it is still the same edit.
    pub source: Option<SourceDigest>,
}

impl Edit {
    /// Digest of the author and the source file, or of the author and the changes without a file.
    ///
    /// Two edits with the same id and digest are the same edit.
    pub(crate) fn content_digest(&self) -> ContentDigest {
        let encoded = match &self.source {
            Some(source) => postcard::to_allocvec(&(&self.author, source)),
            None => postcard::to_allocvec(&(&self.author, &self.changes)),
        };
        let bytes = encoded.expect("edits can be encoded");
        ContentDigest(Sha256::digest(&bytes).into())
    }

    pub(crate) fn length_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).expect("edits can be encoded")
    }
}

/// Idempotency key of an edit, chosen by the client: 1 to 64 ASCII letters, digits, `.`, `_` or `-`.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct EditId(Box<str>);

impl EditId {
    /// Validates an edit id.
    ///
    /// # Errors
    ///
    /// Returns [`Error::EditId`] if the id is empty, too long or has another character.
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

/// SHA-256 of a CSV file from which the changes of an edit were computed.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceDigest([u8; 32]);

impl SourceDigest {
    /// Digest of a file.
    #[must_use]
    pub fn of(file: &[u8]) -> Self {
        Self(Sha256::digest(file).into())
    }
}

/// Result of an edit.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum EditOutcome {
    /// All changes were applied.
    Accepted {
        /// New revision of the table and of the changed items.
        revision: Revision,
    },
    /// Too many outcomes are stored; nothing changed, and the client may resend the edit later.
    Busy {
        /// Time until the oldest stored outcome expires.
        retry_after_ms: u64,
    },
    /// Some items are not at the expected revision; nothing changed.
    Conflict {
        /// Current state of those items, at most [`CONFLICTS_LISTED_MAX`](crate::CONFLICTS_LISTED_MAX).
        current: Vec<VersionedItem>,
    },
    /// The edit id belongs to an earlier edit with another content; nothing changed.
    IdReused,
    /// The edit breaks a rule; nothing changed.
    Invalid {
        /// Broken rules, at most [`PROBLEMS_LISTED_MAX`](crate::PROBLEMS_LISTED_MAX).
        problems: Vec<Problem>,
    },
}
