//! The versioned list of live instances.
//!
//! Each entry keeps the version of its last change, and removed entries stay as tombstones for a
//! bounded number of versions, so a delta needs no separate log of changes. A subscriber that
//! received a whole roster has no earlier tombstones, so it serves deltas only from then on.

use names::InstanceName;
use serde::{Deserialize, Serialize};

use crate::Member;

/// Number of versions for which a delta can still report a removed member.
const TOMBSTONE_VERSIONS: u64 = 1_024;

/// Member, or the tombstone of a removed member.
#[derive(Debug, Clone)]
struct RosterEntry {
    changed_version: u64,
    member: Option<Member>,
    name: InstanceName,
}

/// The live instances, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    /// First version from which a delta can be computed.
    base_version: u64,
    entries: Vec<RosterEntry>,
    epoch: u64,
    version: u64,
}

/// Changes of a roster since a version, or the whole roster.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// Epoch of the publisher that counts the versions; grows with each publisher.
    pub epoch: u64,
    /// Version that the changes apply to; `None` if `changed` is the whole roster.
    pub base_version: Option<u64>,
    /// Added or changed members.
    pub changed: Vec<Member>,
    /// Removed members.
    pub removed: Vec<InstanceName>,
    /// Version that the update reaches.
    pub version: u64,
}

impl Roster {
    /// Creates an empty roster whose versions belong to `epoch`.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Applies an update; an older one, or one that applies to an unknown version, is ignored.
    pub fn apply(&mut self, update: &RosterUpdate) {
        if (update.epoch, update.version) <= (self.epoch, self.version) {
            return;
        }
        match update.base_version {
            Some(base_version) if update.epoch != self.epoch || base_version > self.version => {
                return;
            }
            Some(_) => {}
            None => {
                self.entries.clear();
                self.base_version = update.version;
            }
        }
        self.epoch = update.epoch;
        self.version = update.version;
        update
            .changed
            .iter()
            .for_each(|member| self.set(&member.name, Some(member)));
        update.removed.iter().for_each(|name| self.set(name, None));
        self.drop_expired_tombstones();
    }

    /// Epoch of the publisher that counts the versions.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The member with that name.
    #[must_use]
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        let position = self.position(name).ok()?;
        self.entries[position].member.as_ref()
    }

    /// Adds or changes a member.
    pub fn insert(&mut self, member: &Member) {
        if self.get(&member.name) == Some(member) {
            return;
        }
        self.version += 1;
        self.set(&member.name, Some(member));
    }

    /// The live members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries
            .iter()
            .filter_map(|entry| entry.member.as_ref())
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &InstanceName) {
        if self.get(name).is_none() {
            return;
        }
        self.version += 1;
        self.set(name, None);
        self.drop_expired_tombstones();
    }

    /// Changes since `version` of `epoch`; `None` if that is as new as this roster.
    #[must_use]
    pub fn update_since(&self, epoch: u64, version: u64) -> Option<RosterUpdate> {
        if (epoch, version) >= (self.epoch, self.version) {
            return None;
        }
        let base_version = (epoch == self.epoch && version >= self.base_version).then_some(version);
        let changed_entries = self
            .entries
            .iter()
            .filter(|entry| base_version.is_none_or(|base| entry.changed_version > base));
        Some(RosterUpdate {
            epoch: self.epoch,
            base_version,
            changed: changed_entries
                .clone()
                .filter_map(|entry| entry.member.clone())
                .collect(),
            removed: changed_entries
                .filter(|entry| base_version.is_some() && entry.member.is_none())
                .map(|entry| entry.name.clone())
                .collect(),
            version: self.version,
        })
    }

    /// Whether a later process of the member's name is listed.
    #[must_use]
    pub fn supersedes(&self, member: &Member) -> bool {
        self.get(&member.name)
            .is_some_and(|listed| listed.start_key() > member.start_key())
    }

    /// Version after the last change, counted by the publisher.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    fn drop_expired_tombstones(&mut self) {
        self.base_version = self
            .base_version
            .max(self.version.saturating_sub(TOMBSTONE_VERSIONS));
        let base_version = self.base_version;
        self.entries
            .retain(|entry| entry.member.is_some() || entry.changed_version > base_version);
    }

    fn position(&self, name: &InstanceName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.name.cmp(name))
    }

    fn set(&mut self, name: &InstanceName, member: Option<&Member>) {
        let entry = RosterEntry {
            changed_version: self.version,
            member: member.cloned(),
            name: name.clone(),
        };
        match self.position(name) {
            Ok(position) => self.entries[position] = entry,
            Err(position) => self.entries.insert(position, entry),
        }
    }
}
