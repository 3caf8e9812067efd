use names::{LogClock, LogIndex};
use serde::{Deserialize, Serialize};

use crate::edit_rules::{edit_problems, time_zone_problems};
use crate::history::History;
use crate::outcome_store::OutcomeStore;
use crate::{
    CONFLICTS_LISTED_MAX, Delta, Edit, EditOutcome, Error, HistoryEntry, ItemId, Items,
    ItemsSnapshot, Problem, Publication, Revision, VersionedItem,
};

const SNAPSHOT_FORMAT: u8 = 1;

/// Replicated state machine of kinds, rows and keys; see the crate documentation.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    outcomes: OutcomeStore,
    applied_index: LogIndex,
    clock: LogClock,
    history: History,
    items: Items,
    revision: Revision,
}

impl Table {
    /// Decodes the state from the bytes of [`Table::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns an error if the format is unknown or the bytes do not decode.
    pub fn restore(snapshot: &[u8]) -> Result<Self, Error> {
        let decode_error = |reason: String| Error::SnapshotDecode { reason };
        let (&format, body) = snapshot
            .split_first()
            .ok_or_else(|| decode_error("it is empty".to_owned()))?;
        if format != SNAPSHOT_FORMAT {
            return Err(Error::SnapshotFormat {
                format,
                known: SNAPSHOT_FORMAT,
            });
        }
        postcard::from_bytes(body).map_err(|error| decode_error(error.to_string()))
    }

    /// Advances the clock to the timestamp of a log entry that is not an edit.
    ///
    /// The clock counts at most [`CLOCK_STEP_MS_MAX`](names::CLOCK_STEP_MS_MAX) between two entries.
    /// Call it for every such entry, or retention periods become longer.
    pub fn advance(&mut self, timestamp_ms: u64) {
        self.clock.advance(timestamp_ms);
        self.outcomes.expire(self.clock.elapsed_ms());
    }

    /// Applies an edit from the log.
    ///
    /// `timestamp_ms` is the leader's time of the log entry, in milliseconds since 1970 in UTC.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not greater than the index of the previous edit.
    pub fn apply(&mut self, index: LogIndex, timestamp_ms: u64, edit: &Edit) -> EditOutcome {
        assert!(
            index > self.applied_index,
            "log entries applied out of order"
        );
        self.applied_index = index;
        self.advance(timestamp_ms);
        if let Some(stored) = self.outcomes.get(edit) {
            return stored;
        }
        let outcome = self.evaluate(edit, index.into());
        let now_ms = self.clock.elapsed_ms();
        if let Some(retry_after_ms) = self.outcomes.retry_after_ms(now_ms, &outcome) {
            return EditOutcome::Busy { retry_after_ms };
        }
        if let EditOutcome::Accepted { revision } = outcome {
            self.apply_changes(edit, revision, timestamp_ms);
        }
        self.outcomes.insert(now_ms, edit, &outcome);
        outcome
    }

    /// Problems of an edit, including time zones that this build's database does not have.
    ///
    /// Call this before the edit is appended to the log.
    #[must_use]
    pub fn check(&self, edit: &Edit) -> Vec<Problem> {
        let mut problems = edit_problems(&self.items, edit);
        problems.extend(time_zone_problems(edit));
        problems
    }

    /// Accepted edits that are still kept, newest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.after(Revision::ABSENT).rev()
    }

    /// All items of the table.
    #[must_use]
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Copy of all items, as sent to subscribers.
    #[must_use]
    pub fn items_snapshot(&self) -> ItemsSnapshot {
        ItemsSnapshot {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Publication that updates a subscriber at `revision`.
    ///
    /// It is a snapshot if the history no longer has all changes since then.
    #[must_use]
    pub fn publication_since(&self, revision: Revision) -> Publication {
        // A subscriber may be ahead of a lagging voter. It gets an empty delta.
        let revision = revision.min(self.revision);
        if !self.history.is_complete_after(revision) {
            return Publication::Snapshot(self.items_snapshot());
        }
        let mut item_ids: Vec<&ItemId> = self
            .history
            .after(revision)
            .flat_map(|edit| &edit.item_ids)
            .collect();
        item_ids.sort_unstable();
        item_ids.dedup();
        Publication::Delta(Delta {
            changes: item_ids
                .into_iter()
                .map(|item_id| self.items.versioned_item(item_id))
                .collect(),
            from: revision,
            to: self.revision,
        })
    }

    /// Revision of the last accepted edit.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Encodes the whole state, with stored outcomes and history.
    ///
    /// # Panics
    ///
    /// Never: every part of the state can be encoded.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let bytes = vec![SNAPSHOT_FORMAT];
        postcard::to_extend(self, bytes).expect("the table can be encoded")
    }

    /// Outcome of an earlier edit with the same id, if it is still stored.
    ///
    /// An edit with a source file is compared by the file's digest, not by its changes.
    #[must_use]
    pub fn stored_outcome(&self, edit: &Edit) -> Option<EditOutcome> {
        self.outcomes.get(edit)
    }

    fn apply_changes(&mut self, edit: &Edit, revision: Revision, timestamp_ms: u64) {
        assert!(
            revision > self.revision,
            "the revision of the table would not increase"
        );
        for change in &edit.changes {
            self.items
                .set(change.item_id.clone(), revision, change.item.clone());
        }
        self.history.push(timestamp_ms, edit, revision);
        self.revision = revision;
    }

    fn conflicting_items(&self, edit: &Edit) -> Vec<VersionedItem> {
        edit.changes
            .iter()
            .filter(|change| self.items.revision(&change.item_id) != change.expected_revision)
            .map(|change| self.items.versioned_item(&change.item_id))
            .take(CONFLICTS_LISTED_MAX)
            .collect()
    }

    fn evaluate(&self, edit: &Edit, revision: Revision) -> EditOutcome {
        let problems = edit_problems(&self.items, edit);
        if !problems.is_empty() {
            return EditOutcome::Invalid { problems };
        }
        let current = self.conflicting_items(edit);
        if !current.is_empty() {
            return EditOutcome::Conflict { current };
        }
        EditOutcome::Accepted { revision }
    }
}
