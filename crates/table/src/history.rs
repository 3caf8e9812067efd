use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Edit, EditId, HISTORY_CHANGES_MAX, ItemId, OperatorName, Revision};

/// One accepted edit: who changed what, and when.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Time that the leader stamped, in milliseconds since 1970 in UTC.
    pub at_ms: u64,
    /// Who made it.
    pub author: OperatorName,
    /// Its id.
    pub edit_id: EditId,
    /// Revision that it made.
    pub revision: Revision,
    /// What it changed.
    pub item_ids: Vec<ItemId>,
}

/// Latest accepted edits, bounded by the number of targets over all of them.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct History {
    /// Every edit after this revision is held.
    complete_after: Revision,
    edits: VecDeque<HistoryEntry>,
    item_ids: usize,
}

impl History {
    /// Edits after `revision`, oldest first.
    pub(crate) fn after(
        &self,
        revision: Revision,
    ) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        let first = self.edits.partition_point(|edit| edit.revision <= revision);
        self.edits.range(first..)
    }

    pub(crate) fn is_complete_after(&self, revision: Revision) -> bool {
        revision >= self.complete_after
    }

    pub(crate) fn push(&mut self, at_ms: u64, edit: &Edit, revision: Revision) {
        let item_ids: Vec<ItemId> = edit.changes.iter().map(|c| c.item_id.clone()).collect();
        self.item_ids += item_ids.len();
        self.edits.push_back(HistoryEntry {
            at_ms,
            author: edit.author.clone(),
            edit_id: edit.edit_id.clone(),
            revision,
            item_ids,
        });
        while self.item_ids > HISTORY_CHANGES_MAX {
            let oldest = self.edits.pop_front().expect("targets belong to edits");
            self.item_ids -= oldest.item_ids.len();
            self.complete_after = oldest.revision;
        }
    }
}
