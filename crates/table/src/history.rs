use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Edit, EditId, HISTORY_CHANGES_MAX, ItemId, OperatorName, Revision};

/// One accepted edit, as listed in the history.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Timestamp of the leader, in milliseconds since 1970 in UTC.
    pub timestamp_ms: u64,
    /// Operator who made the edit.
    pub author: OperatorName,
    /// Id of the edit.
    pub edit_id: EditId,
    /// Revision of the table after the edit.
    pub revision: Revision,
    /// Items that the edit changed.
    pub item_ids: Vec<ItemId>,
}

/// Latest accepted edits, with at most [`HISTORY_CHANGES_MAX`] changes in total.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct History {
    /// Every edit after this revision is kept.
    complete_after: Revision,
    edits: VecDeque<HistoryEntry>,
    change_count: usize,
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

    pub(crate) fn push(&mut self, timestamp_ms: u64, edit: &Edit, revision: Revision) {
        let item_ids: Vec<ItemId> = edit.changes.iter().map(|c| c.item_id.clone()).collect();
        self.change_count += item_ids.len();
        self.edits.push_back(HistoryEntry {
            timestamp_ms,
            author: edit.author.clone(),
            edit_id: edit.edit_id.clone(),
            revision,
            item_ids,
        });
        while self.change_count > HISTORY_CHANGES_MAX {
            let oldest = self
                .edits
                .pop_front()
                .expect("the changes belong to kept edits");
            self.change_count -= oldest.item_ids.len();
            self.complete_after = oldest.revision;
        }
    }
}
