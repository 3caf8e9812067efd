use names::{Epoch, Incarnation, InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{Assignment, Predecessor, Shard};

/// Gives a shard to an owner; part of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignCommand {
    /// Epoch of the assignment that the command replaces; zero where there is none.
    pub expected_epoch: Epoch,
    /// Run of the new owner.
    pub incarnation: Incarnation,
    /// The new owner.
    pub owner: InstanceName,
    /// The owner before.
    pub predecessor: Predecessor,
    /// The shard.
    pub shard: Shard,
}

/// The owners of all shards, sorted by shard.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct Assignments {
    applied: LogIndex,
    assignments: Vec<Assignment>,
}

/// Assignments that changed since a position in the log.
#[derive(Debug, Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct AssignmentsUpdate {
    /// Position reached by the update.
    pub applied: LogIndex,
    /// The changed assignments.
    pub changed: Vec<Assignment>,
}

impl Assignments {
    /// Applies a committed command; says whether it took effect.
    ///
    /// # Panics
    ///
    /// Panics if the log runs backwards.
    pub fn apply(&mut self, index: LogIndex, command: &AssignCommand) -> bool {
        assert!(index > self.applied, "the log is applied in order");
        let current = self.get(&command.shard).map_or(Epoch(0), |a| a.epoch);
        if current != command.expected_epoch {
            return false;
        }
        self.applied = index;
        self.set(Assignment {
            epoch: Epoch(index.0),
            incarnation: command.incarnation,
            owner: command.owner.clone(),
            predecessor: command.predecessor,
            shard: command.shard.clone(),
        });
        true
    }

    /// Position of the last change.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
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

    /// Takes a publisher's update on a subscriber; older assignments never replace newer ones.
    pub fn merge(&mut self, update: &AssignmentsUpdate) {
        self.applied = self.applied.max(update.applied);
        for assignment in &update.changed {
            let newer = self
                .get(&assignment.shard)
                .is_none_or(|current| current.epoch < assignment.epoch);
            if newer {
                self.set(assignment.clone());
            }
        }
    }

    /// Assignments that changed after `applied`; none where there are none.
    #[must_use]
    pub fn update_since(&self, applied: LogIndex) -> Option<AssignmentsUpdate> {
        if applied >= self.applied {
            return None;
        }
        Some(AssignmentsUpdate {
            applied: self.applied,
            changed: self
                .assignments
                .iter()
                .filter(|assignment| assignment.epoch.0 > applied.0)
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
