use names::{LogClock, LogIndex};
use serde::{Deserialize, Serialize};

use crate::edit_answers::EditAnswers;
use crate::edit_rules::{edit_problems, time_zone_problems};
use crate::history::History;
use crate::{
    CONFLICTS_LISTED_MAX, Delta, Edit, EditOutcome, Error, HistoryEntry, ItemId, Items,
    ItemsSnapshot, Problem, Publication, Revision, VersionedItem,
};

const SNAPSHOT_FORMAT: u8 = 1;

/// The replicated table.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    answers: EditAnswers,
    applied: LogIndex,
    clock: LogClock,
    history: History,
    items: Items,
    revision: Revision,
}

impl Table {
    /// Restores the state that [`Table::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Refuses an unknown format and bytes that do not decode.
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

    /// Lets time pass up to the stamp of a log entry that is no edit.
    ///
    /// Retentions count at most [`CLOCK_STEP_MS_MAX`](names::CLOCK_STEP_MS_MAX) between two entries,
    /// so every entry of the log should be shown to the table.
    pub fn advance(&mut self, at_ms: u64) {
        self.clock.advance(at_ms);
        self.answers.expire(self.clock.elapsed_ms());
    }

    /// Applies an edit from the log.
    ///
    /// `at_ms` is the leader's time as carried in the log, in milliseconds since 1970 in UTC.
    ///
    /// # Panics
    ///
    /// Where `index` is not greater than that of the edit before.
    pub fn apply(&mut self, index: LogIndex, at_ms: u64, edit: &Edit) -> EditOutcome {
        assert!(index > self.applied, "log entries applied out of order");
        self.applied = index;
        self.advance(at_ms);
        if let Some(first) = self.answers.get(edit) {
            return first;
        }
        let outcome = self.decide(edit, index.into());
        let now_ms = self.clock.elapsed_ms();
        if let Some(retry_after_ms) = self.answers.retry_after_ms(now_ms, &outcome) {
            return EditOutcome::Busy { retry_after_ms };
        }
        if let EditOutcome::Accepted { revision } = outcome {
            self.accept(edit, revision, at_ms);
        }
        self.answers.insert(now_ms, edit, &outcome);
        outcome
    }

    /// The first answer to the edit's id, where it is still kept.
    ///
    /// Where the edit has a source, its changes do not matter.
    #[must_use]
    pub fn stored_outcome(&self, edit: &Edit) -> Option<EditOutcome> {
        self.answers.get(edit)
    }

    /// Problems of an edit, including those that depend on this build's time zone database.
    ///
    /// To be asked before the edit is appended to the log.
    #[must_use]
    pub fn check(&self, edit: &Edit) -> Vec<Problem> {
        let mut problems = edit_problems(&self.items, edit);
        problems.extend(time_zone_problems(edit));
        problems
    }

    /// What a subscriber at `revision` lacks: a delta, or a snapshot where deltas are gone.
    #[must_use]
    pub fn publication_since(&self, revision: Revision) -> Publication {
        // A subscriber may be ahead of a voter that lags; it is sent nothing new.
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
                .map(|item_id| self.items.versioned(item_id))
                .collect(),
            from: revision,
            to: self.revision,
        })
    }

    /// Accepted edits that are still held, newest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.after(Revision::ABSENT).rev()
    }

    /// Everything that the table governs.
    #[must_use]
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Everything that the table governs, as sent to subscribers.
    #[must_use]
    pub fn items_snapshot(&self) -> ItemsSnapshot {
        ItemsSnapshot {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Revision of the last accepted edit.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Encodes the whole state, answers and history included.
    ///
    /// # Panics
    ///
    /// Never: the state holds nothing that the encoding refuses.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let bytes = vec![SNAPSHOT_FORMAT];
        postcard::to_extend(self, bytes).expect("the table encodes without failure")
    }

    fn accept(&mut self, edit: &Edit, revision: Revision, at_ms: u64) {
        assert!(
            revision > self.revision,
            "the table returned to an older revision"
        );
        for change in &edit.changes {
            self.items
                .set(change.item_id.clone(), revision, change.item.clone());
        }
        self.history.push(at_ms, edit, revision);
        self.revision = revision;
    }

    fn conflicts(&self, edit: &Edit) -> Vec<VersionedItem> {
        edit.changes
            .iter()
            .filter(|change| self.items.revision(&change.item_id) != change.expected_revision)
            .map(|change| self.items.versioned(&change.item_id))
            .take(CONFLICTS_LISTED_MAX)
            .collect()
    }

    fn decide(&self, edit: &Edit, revision: Revision) -> EditOutcome {
        let problems = edit_problems(&self.items, edit);
        if !problems.is_empty() {
            return EditOutcome::Invalid { problems };
        }
        let current = self.conflicts(edit);
        if !current.is_empty() {
            return EditOutcome::Conflict { current };
        }
        EditOutcome::Accepted { revision }
    }
}
