use std::collections::VecDeque;
use std::sync::Arc;

use names::LogIndex;

use crate::{Entry, Member, Membership, Payload, Snapshot, Term};

/// Membership that is in force from a log index on.
#[derive(Debug)]
struct EffectiveMembership {
    index: LogIndex,
    membership: Membership,
}

/// Log in memory: the entries after a base index, and the memberships that they set.
///
/// The base is at or before the snapshot; the entries in between serve followers that lag.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    durable_index: LogIndex,
    entries: VecDeque<Entry>,
    memberships: Vec<EffectiveMembership>,
    snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    /// Creates the log from a recovered snapshot and the entries after it, all durable.
    pub(crate) fn open(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: LogIndex(0),
            base_term: Term(0),
            durable_index: LogIndex(0),
            entries: VecDeque::new(),
            memberships: vec![EffectiveMembership {
                index: LogIndex(0),
                membership: Membership::default(),
            }],
            snapshot: None,
        };
        if let Some(snapshot) = snapshot {
            log.install_snapshot(Arc::new(snapshot));
        }
        for entry in entries {
            log.push(entry);
        }
        log.durable_index = log.last_index();
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

    pub(crate) fn last_timestamp_ms(&self) -> u64 {
        let snapshot_timestamp_ms = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.timestamp_ms);
        self.entries
            .back()
            .map_or(snapshot_timestamp_ms, |last| last.timestamp_ms)
    }

    pub(crate) fn membership(&self) -> &Membership {
        let latest = self.memberships.last().expect("log keeps one membership");
        &latest.membership
    }

    /// Index of the entry or snapshot that set the latest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        let latest = self.memberships.last().expect("log keeps one membership");
        latest.index
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entries from `first` on, up to `bytes_max` in total, but at least one if there is any.
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

    /// Entries of a closed range; the log must hold all of them.
    pub(crate) fn entries_between(&self, first: LogIndex, last: LogIndex) -> Vec<Entry> {
        (first.0..=last.0)
            .map(|index| {
                let entry = self.entry(LogIndex(index));
                entry.expect("range is in the log").clone()
            })
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index.0,
            self.last_index().0 + 1,
            "log indexes are consecutive"
        );
        assert!(
            entry.term >= self.last_term(),
            "terms never decrease along the log"
        );
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(EffectiveMembership {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `first` on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        assert!(first > self.base_index, "the base is never truncated");
        let kept_count = usize::try_from(first.0 - self.base_index.0 - 1).expect("log fits memory");
        self.entries.truncate(kept_count);
        self.memberships.retain(|known| known.index < first);
        self.durable_index = self.durable_index.min(LogIndex(first.0 - 1));
    }

    /// Records that the entries up to `index` are durable.
    pub(crate) fn mark_durable(&mut self, index: LogIndex) {
        assert!(
            index <= self.last_index(),
            "only entries of the log are durable"
        );
        self.durable_index = self.durable_index.max(index);
    }

    /// Records a snapshot of this log and drops entries more than `retained_entries` before it.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, retained_entries: u64) {
        let base = LogIndex(snapshot.index.0.saturating_sub(retained_entries));
        self.snapshot = Some(snapshot);
        if base <= self.base_index {
            return;
        }
        self.base_term = self.term_at(base).expect("base index is in the log");
        let dropped_count = usize::try_from(base.0 - self.base_index.0).expect("log fits memory");
        self.entries.drain(..dropped_count);
        self.base_index = base;
        let after = self
            .memberships
            .partition_point(|known| known.index <= base);
        self.memberships.drain(..after.saturating_sub(1));
    }

    /// Replaces the log by a snapshot; keeps the entries after it if the log holds its last entry.
    ///
    /// Returns whether the whole log was discarded.
    pub(crate) fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) -> bool {
        let contains_snapshot = self.term_at(snapshot.index) == Some(snapshot.term);
        let entries_after = if contains_snapshot && snapshot.index < self.last_index() {
            self.entries_between(LogIndex(snapshot.index.0 + 1), self.last_index())
        } else {
            Vec::new()
        };
        let durable_index = self.durable_index;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships.clear();
        self.memberships.push(EffectiveMembership {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        });
        self.snapshot = Some(snapshot);
        for entry in entries_after {
            self.push(entry);
        }
        self.durable_index = durable_index.min(self.last_index()).max(self.base_index);
        !contains_snapshot
    }

    /// Whether `member` is a voter in a membership that may be in force: the one at the commit
    /// index or a later one.
    pub(crate) fn may_be_voter(&self, commit_index: LogIndex, member: &Member) -> bool {
        let after = self
            .memberships
            .partition_point(|known| known.index <= commit_index);
        self.memberships[after.saturating_sub(1)..]
            .iter()
            .any(|known| known.membership.is_voter(member))
    }

    /// Membership in force at an index of the log.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let after = self
            .memberships
            .partition_point(|known| known.index <= index);
        &self.memberships[after.saturating_sub(1)].membership
    }
}
