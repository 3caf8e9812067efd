use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{Entry, Member, Membership, Payload, Snapshot, Term};

/// Membership that is in force from a position on.
#[derive(Debug)]
struct MembershipAt {
    index: LogIndex,
    membership: Membership,
}

/// Log in memory: the entries after a base position, and the memberships that they set.
///
/// The base lies at or before the snapshot; entries between the two serve followers that lag.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    memberships: Vec<MembershipAt>,
    snapshot: Option<Arc<Snapshot>>,
    synced: LogIndex,
}

impl Log {
    /// Log as recovered: a snapshot and the entries after it, all durable.
    pub(crate) fn open(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: LogIndex(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            memberships: vec![MembershipAt {
                index: LogIndex(0),
                membership: Membership::default(),
            }],
            snapshot: None,
            synced: LogIndex(0),
        };
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        for entry in entries {
            log.push(entry);
        }
        log.synced = log.last_index();
        log
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |last| last.term)
    }

    pub(crate) fn last_at_ms(&self) -> u64 {
        let snapshot_at_ms = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.at_ms);
        self.entries
            .back()
            .map_or(snapshot_at_ms, |last| last.at_ms)
    }

    pub(crate) fn membership(&self) -> &Membership {
        let latest = self.memberships.last().expect("log keeps one membership");
        &latest.membership
    }

    /// Position that set the latest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        let latest = self.memberships.last().expect("log keeps one membership");
        latest.index
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entries from a position on, up to a sum of sizes but at least one.
    pub(crate) fn entries_from(&self, first: LogIndex, bytes_max: usize) -> Vec<Entry> {
        let mut length_bytes = 0;
        let mut entries = Vec::new();
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            length_bytes += entry.length_bytes();
            if length_bytes > bytes_max && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = LogIndex(index.0 + 1);
        }
        entries
    }

    /// Entries of a closed range that the log holds.
    pub(crate) fn entries_between(&self, first: LogIndex, last: LogIndex) -> Vec<Entry> {
        (first.0..=last.0)
            .map(|index| {
                let entry = self.entry(LogIndex(index));
                entry.expect("range lies in the log").clone()
            })
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index.0,
            self.last_index().0 + 1,
            "log positions are consecutive"
        );
        assert!(
            entry.term >= self.last_term(),
            "terms never decrease along the log"
        );
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(MembershipAt {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Drops every entry from a position on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        assert!(first > self.base_index, "the base is never truncated");
        let kept = usize::try_from(first.0 - self.base_index.0 - 1).expect("log fits memory");
        self.entries.truncate(kept);
        self.memberships.retain(|at| at.index < first);
        self.synced = self.synced.min(LogIndex(first.0 - 1));
    }

    /// Records that the entries up to a position are durable.
    pub(crate) fn mark_synced(&mut self, index: LogIndex) {
        assert!(
            index <= self.last_index(),
            "only entries of the log are durable"
        );
        self.synced = self.synced.max(index);
    }

    /// Takes a snapshot of the applied log and drops entries more than `retained` behind it.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, retained: u64) {
        let base = LogIndex(snapshot.index.0.saturating_sub(retained));
        self.snapshot = Some(snapshot);
        if base <= self.base_index {
            return;
        }
        self.base_term = self.term_at(base).expect("base lies in the log");
        let dropped = usize::try_from(base.0 - self.base_index.0).expect("log fits memory");
        self.entries.drain(..dropped);
        self.base_index = base;
        let first_kept = self.memberships.partition_point(|at| at.index <= base);
        self.memberships.drain(..first_kept.saturating_sub(1));
    }

    /// Replaces the log by a snapshot; keeps the entries behind it that extend the same log.
    ///
    /// Returns whether the whole log was discarded.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) -> bool {
        let keeps_rest = self.term_at(snapshot.index) == Some(snapshot.term);
        let rest = if keeps_rest && snapshot.index < self.last_index() {
            self.entries_between(LogIndex(snapshot.index.0 + 1), self.last_index())
        } else {
            Vec::new()
        };
        let synced = self.synced;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships.clear();
        self.memberships.push(MembershipAt {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        });
        self.snapshot = Some(snapshot);
        for entry in rest {
            self.push(entry);
        }
        self.synced = synced.min(self.last_index()).max(self.base_index);
        !keeps_rest
    }

    /// Whether a membership that may be in force has this voter: the one at the commit position
    /// or a later one.
    pub(crate) fn may_be_voter(&self, commit: LogIndex, member: &Member) -> bool {
        let after = self.memberships.partition_point(|at| at.index <= commit);
        self.memberships[after.saturating_sub(1)..]
            .iter()
            .any(|at| at.membership.is_voter(member))
    }

    /// Membership in force at a position of the log.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let after = self.memberships.partition_point(|at| at.index <= index);
        &self.memberships[after.saturating_sub(1)].membership
    }
}
