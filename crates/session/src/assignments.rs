use names::{Epoch, Incarnation, InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Assignment, Predecessor, Shard};

/// Command of the replicated log that assigns a shard to an owner.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignCommand {
    /// Epoch of the assignment to replace; zero if the shard has none.
    pub expected_epoch: Epoch,
    /// Incarnation of the new owner.
    pub incarnation: Incarnation,
    /// The new owner.
    pub owner: InstanceName,
    /// State of the previous owner.
    pub predecessor: Predecessor,
    /// The shard.
    pub shard: Shard,
}

/// The owners of all shards, sorted by shard.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct Assignments {
    applied_index: LogIndex,
    assignments: Vec<Assignment>,
}

/// Assignments that changed since a log index.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct AssignmentsUpdate {
    /// Log index that the update reaches.
    pub applied_index: LogIndex,
    /// The changed assignments.
    pub changed: Vec<Assignment>,
}

impl Assignments {
    /// Applies a committed command; returns whether it took effect.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not greater than the last applied one.
    pub fn apply(&mut self, index: LogIndex, command: &AssignCommand) -> bool {
        assert!(index > self.applied_index, "the log is applied in order");
        let current = self.get(&command.shard).map_or(Epoch(0), |a| a.epoch);
        if current != command.expected_epoch {
            return false;
        }
        self.applied_index = index;
        self.set(Assignment {
            epoch: Epoch(index.0),
            incarnation: command.incarnation,
            owner: command.owner.clone(),
            predecessor: command.predecessor,
            shard: command.shard.clone(),
        });
        true
    }

    /// Log index of the last change.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// The assignment of a shard.
    #[must_use]
    pub fn get(&self, shard: &Shard) -> Option<&Assignment> {
        let position = self.position(shard).ok()?;
        Some(&self.assignments[position])
    }

    /// All assignments, by shard.
    pub fn iter(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments.iter()
    }

    /// Merges a publisher's update; an older assignment never replaces a newer one.
    pub fn merge(&mut self, update: &AssignmentsUpdate) {
        self.applied_index = self.applied_index.max(update.applied_index);
        for assignment in &update.changed {
            let newer = self
                .get(&assignment.shard)
                .is_none_or(|current| current.epoch < assignment.epoch);
            if newer {
                self.set(assignment.clone());
            }
        }
    }

    /// Assignments that changed after `applied_index`; `None` if none did.
    #[must_use]
    pub fn update_since(&self, applied_index: LogIndex) -> Option<AssignmentsUpdate> {
        if applied_index >= self.applied_index {
            return None;
        }
        Some(AssignmentsUpdate {
            applied_index: self.applied_index,
            changed: self
                .assignments
                .iter()
                .filter(|assignment| assignment.epoch.0 > applied_index.0)
                .cloned()
                .collect(),
        })
    }

    fn position(&self, shard: &Shard) -> Result<usize, usize> {
        self.assignments
            .binary_search_by(|assignment| assignment.shard.cmp(shard))
    }

    fn set(&mut self, assignment: Assignment) {
        match self.position(&assignment.shard) {
            Ok(position) => {
                assert!(
                    self.assignments[position].epoch < assignment.epoch,
                    "epochs of a shard only grow"
                );
                self.assignments[position] = assignment;
            }
            Err(position) => self.assignments.insert(position, assignment),
        }
    }
}
