use std::collections::VecDeque;

use names::{Epoch, LogIndex};

use crate::CONFIGURATION_LEASE_MS;

/// Tracks which assignments were committed more than one configuration lease ago.
#[derive(Debug, Default)]
pub struct AssignmentAges {
    aged_epoch: Epoch,
    /// Committed log indexes that are younger than one lease, oldest first.
    observed: VecDeque<ObservedCommit>,
}

/// Committed log index, with the time at which it was first observed.
#[derive(Debug)]
struct ObservedCommit {
    applied_index: LogIndex,
    at_ms: u64,
}

impl AssignmentAges {
    /// Greatest epoch known to be older than one lease.
    #[must_use]
    pub fn aged_epoch(&self) -> Epoch {
        self.aged_epoch
    }

    /// Records that the assignments up to `applied_index` are committed at `now_ms`.
    pub fn observe(&mut self, now_ms: u64, applied_index: LogIndex) {
        if self
            .observed
            .back()
            .is_none_or(|last| last.applied_index < applied_index)
        {
            self.observed.push_back(ObservedCommit {
                applied_index,
                at_ms: now_ms,
            });
        }
        while let Some(observed) = self
            .observed
            .pop_front_if(|observed| observed.at_ms + CONFIGURATION_LEASE_MS <= now_ms)
        {
            self.aged_epoch = self.aged_epoch.max(Epoch(observed.applied_index.0));
        }
    }
}
