use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{Member, Snapshot};

/// `AppendEntries` with entries that is not acknowledged yet.
#[derive(Debug)]
struct InFlightAppend {
    last_index: LogIndex,
    length_bytes: usize,
}

/// State of the replication to one follower.
#[derive(Debug)]
pub(crate) enum ReplicationMode {
    /// One empty `AppendEntries` at a time, until an index is found at which the logs match.
    Probe {
        /// Whether a probe has no response yet.
        is_awaiting_response: bool,
    },
    /// Entries are sent up to a window of unacknowledged bytes.
    Replicate,
    /// A snapshot is sent chunk by chunk.
    Snapshot {
        /// Whether a chunk has no response yet.
        is_awaiting_response: bool,
        /// Bytes that the follower acknowledged.
        offset_bytes: u64,
        snapshot: Arc<Snapshot>,
    },
}

/// Leader's replication progress of one follower.
#[derive(Debug)]
pub(crate) struct FollowerProgress {
    /// Commit index in the latest `AppendEntries`.
    pub(crate) commit_index_sent: LogIndex,
    /// Latest round of read index heartbeats that the follower answered.
    pub(crate) confirmation_round: u64,
    in_flight: VecDeque<InFlightAppend>,
    in_flight_bytes: usize,
    pub(crate) last_response_ms: u64,
    /// Highest index known to be durable at the follower and equal to the leader's log.
    pub(crate) match_index: LogIndex,
    pub(crate) member: Member,
    pub(crate) mode: ReplicationMode,
    pub(crate) next_index: LogIndex,
}

impl FollowerProgress {
    pub(crate) fn new(member: Member, last_index: LogIndex, now_ms: u64) -> Self {
        Self {
            commit_index_sent: LogIndex(0),
            confirmation_round: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_response_ms: now_ms,
            match_index: LogIndex(0),
            member,
            mode: ReplicationMode::Probe {
                is_awaiting_response: false,
            },
            next_index: LogIndex(last_index.0 + 1),
        }
    }

    /// Records that the follower acknowledged the entries up to `match_index`.
    pub(crate) fn acknowledge(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(LogIndex(self.match_index.0 + 1));
        while let Some(first) = self.in_flight.front()
            && first.last_index <= self.match_index
        {
            self.in_flight_bytes -= first.length_bytes;
            self.in_flight.pop_front();
        }
        match &self.mode {
            ReplicationMode::Probe { .. } => self.mode = ReplicationMode::Replicate,
            ReplicationMode::Snapshot { snapshot, .. } if self.match_index >= snapshot.index => {
                self.mode = ReplicationMode::Replicate;
            }
            ReplicationMode::Replicate | ReplicationMode::Snapshot { .. } => {}
        }
    }

    /// Probes again from an index at which the logs may match.
    pub(crate) fn probe_from(&mut self, hint: LogIndex) {
        self.next_index = LogIndex(hint.0.max(self.match_index.0) + 1);
        self.mode = ReplicationMode::Probe {
            is_awaiting_response: false,
        };
        self.clear_in_flight();
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.mode = ReplicationMode::Snapshot {
            is_awaiting_response: false,
            offset_bytes: 0,
            snapshot,
        };
        self.clear_in_flight();
    }

    /// Records an `AppendEntries` with entries that was sent.
    pub(crate) fn record_sent(&mut self, last_index: LogIndex, length_bytes: usize) {
        self.in_flight.push_back(InFlightAppend {
            last_index,
            length_bytes,
        });
        self.in_flight_bytes += length_bytes;
        self.next_index = LogIndex(last_index.0 + 1);
    }

    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    pub(crate) fn has_empty_window(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Allows another probe although the latest one was not answered.
    pub(crate) fn resume_probe(&mut self) {
        if let ReplicationMode::Probe {
            is_awaiting_response,
        } = &mut self.mode
        {
            *is_awaiting_response = false;
        }
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
