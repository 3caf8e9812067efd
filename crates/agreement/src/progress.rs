use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{Member, Snapshot};

/// Append that is not acknowledged yet.
#[derive(Debug)]
struct InFlight {
    last: LogIndex,
    length_bytes: usize,
}

/// How a leader sends to a follower.
#[derive(Debug)]
pub(crate) enum Mode {
    /// One append at a time, until the logs are known to match.
    Probe {
        /// Whether an append awaits its answer.
        waiting: bool,
    },
    /// A window of appends.
    Replicate,
    /// A snapshot, chunk by chunk.
    Snapshot {
        /// Bytes acknowledged.
        offset_bytes: u64,
        /// What is sent.
        snapshot: Arc<Snapshot>,
        /// Whether a chunk awaits its answer.
        waiting: bool,
    },
}

/// What a leader knows of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Commit position last sent.
    pub(crate) commit_sent: LogIndex,
    in_flight: VecDeque<InFlight>,
    in_flight_bytes: usize,
    /// Time of the last answer.
    pub(crate) last_active_ms: u64,
    /// Last position known to be durable and equal.
    pub(crate) matched: LogIndex,
    /// The follower.
    pub(crate) member: Member,
    /// How to send.
    pub(crate) mode: Mode,
    /// Next position to send.
    pub(crate) next: LogIndex,
    /// Latest confirmation round answered.
    pub(crate) round: u64,
}

impl Progress {
    pub(crate) fn new(member: Member, last: LogIndex, now_ms: u64) -> Self {
        Self {
            commit_sent: LogIndex(0),
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_active_ms: now_ms,
            matched: LogIndex(0),
            member,
            mode: Mode::Probe { waiting: false },
            next: LogIndex(last.0 + 1),
            round: 0,
        }
    }

    /// Records an acknowledgement.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        while let Some(first) = self.in_flight.front()
            && first.last <= self.matched
        {
            self.in_flight_bytes -= first.length_bytes;
            self.in_flight.pop_front();
        }
        match &self.mode {
            Mode::Probe { .. } => self.mode = Mode::Replicate,
            Mode::Snapshot { snapshot, .. } if self.matched >= snapshot.index => {
                self.mode = Mode::Replicate;
            }
            Mode::Replicate | Mode::Snapshot { .. } => {}
        }
    }

    /// Goes back to where the logs may still match.
    pub(crate) fn probe_from(&mut self, hint: LogIndex) {
        self.next = LogIndex(hint.0.max(self.matched.0) + 1);
        self.mode = Mode::Probe { waiting: false };
        self.clear_in_flight();
    }

    /// Starts to send a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.mode = Mode::Snapshot {
            offset_bytes: 0,
            snapshot,
            waiting: false,
        };
        self.clear_in_flight();
    }

    /// Records an append that was sent.
    pub(crate) fn sent(&mut self, last: LogIndex, length_bytes: usize) {
        self.in_flight.push_back(InFlight { last, length_bytes });
        self.in_flight_bytes += length_bytes;
        self.next = LogIndex(last.0 + 1);
    }

    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Lets the next probe be sent although the last one was not answered.
    pub(crate) fn resume_probe(&mut self) {
        if let Mode::Probe { waiting } = &mut self.mode {
            *waiting = false;
        }
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
