use serde::{Deserialize, Serialize};

use crate::{Items, Revision, VersionedItem};

/// Latest state of everything that changed between two revisions.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Changed items, ordered by target.
    pub changes: Vec<VersionedItem>,
    /// Revision from which the delta starts.
    pub from: Revision,
    /// Revision to which it leads.
    pub to: Revision,
}

/// What a subscriber is sent.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Publication {
    /// Changes since the revision that the subscriber holds.
    Delta(Delta),
    /// Everything, where the changes since then are gone.
    Snapshot(ItemsSnapshot),
}

/// Everything that the table governs at one revision.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemsSnapshot {
    /// Every item.
    pub items: Items,
    /// Revision of the table.
    pub revision: Revision,
}
