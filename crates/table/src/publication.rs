use serde::{Deserialize, Serialize};

use crate::{Items, Revision, VersionedItem};

/// Latest state of the items that changed between two revisions.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Changed items, ordered by id.
    pub changes: Vec<VersionedItem>,
    /// Revision that a subscriber must have reached to apply the delta.
    pub from: Revision,
    /// Revision after the delta.
    pub to: Revision,
}

/// Update that is sent to a subscriber.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Publication {
    /// Changes since the subscriber's revision.
    Delta(Delta),
    /// All items, if the changes since the subscriber's revision are no longer kept.
    Snapshot(ItemsSnapshot),
}

/// All items of the table at one revision, as sent to subscribers.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemsSnapshot {
    /// The items.
    pub items: Items,
    /// Revision of the table.
    pub revision: Revision,
}
