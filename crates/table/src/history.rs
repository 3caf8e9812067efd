use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Edit, EditId, HISTORY_TARGETS_MAX, OperatorName, Revision, Target};

/// One accepted edit: who changed what, and when.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revised {
    /// Time that the leader stamped, in milliseconds since 1970 in UTC.
    pub at_ms: u64,
    /// Who made it.
    pub author: OperatorName,
    /// Its id.
    pub edit_id: EditId,
    /// Revision that it made.
    pub revision: Revision,
    /// What it changed.
    pub targets: Vec<Target>,
}

/// Latest accepted edits, bounded by the number of targets over all of them.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct History {
    /// Every edit after this revision is held.
    complete_after: Revision,
    edits: VecDeque<Revised>,
    targets: usize,
}

impl History {
    /// Edits after `revision`, oldest first.
    pub(crate) fn after(&self, revision: Revision) -> impl DoubleEndedIterator<Item = &Revised> {
        let first = self.edits.partition_point(|edit| edit.revision <= revision);
        self.edits.range(first..)
    }

    pub(crate) fn is_complete_after(&self, revision: Revision) -> bool {
        revision >= self.complete_after
    }

    pub(crate) fn push(&mut self, at_ms: u64, edit: &Edit, revision: Revision) {
        let targets: Vec<Target> = edit.changes.iter().map(|c| c.target.clone()).collect();
        self.targets += targets.len();
        self.edits.push_back(Revised {
            at_ms,
            author: edit.author.clone(),
            edit_id: edit.edit_id.clone(),
            revision,
            targets,
        });
        while self.targets > HISTORY_TARGETS_MAX {
            let oldest = self.edits.pop_front().expect("targets belong to edits");
            self.targets -= oldest.targets.len();
            self.complete_after = oldest.revision;
        }
    }
}
