use std::collections::VecDeque;

use names::{Epoch, LogIndex};

use crate::CONFIGURATION_LEASE_MS;

/// Tells which assignments were committed more than one configuration lease ago.
#[derive(Debug, Default)]
pub struct AssignmentAges {
    aged: Epoch,
    /// Positions of the log, oldest first.
    seen: VecDeque<Seen>,
}

#[derive(Debug)]
struct Seen {
    applied: LogIndex,
    at_ms: u64,
}

impl AssignmentAges {
    /// Last epoch that is known to be older than one lease.
    #[must_use]
    pub fn aged_epoch(&self) -> Epoch {
        self.aged
    }

    /// Notes that the assignments up to `applied` are committed at `now_ms`.
    pub fn observe(&mut self, now_ms: u64, applied: LogIndex) {
        if self.seen.back().is_none_or(|last| last.applied < applied) {
            self.seen.push_back(Seen {
                applied,
                at_ms: now_ms,
            });
        }
        while let Some(seen) = self
            .seen
            .pop_front_if(|seen| seen.at_ms + CONFIGURATION_LEASE_MS <= now_ms)
        {
            self.aged = self.aged.max(Epoch(seen.applied.0));
        }
    }
}
