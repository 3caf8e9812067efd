//! The versioned list of live instances.
//!
//! Each entry keeps the version at which it last changed, removed ones stay as tombstones for a
//! bounded number of versions, so a delta needs no separate log of changes. A follower that took a
//! whole roster knows nothing of earlier removals, so it serves deltas only from there on.

use names::InstanceName;
use serde::{Deserialize, Serialize};

use crate::Member;

/// Versions for which a removed member can still be reported in a delta.
const TOMBSTONE_VERSIONS: u64 = 1_024;

#[derive(Debug, Clone)]
struct Slot {
    changed: u64,
    member: Option<Member>,
    name: InstanceName,
}

/// The live instances, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    /// First version from which a delta can be told.
    base: u64,
    epoch: u64,
    slots: Vec<Slot>,
    version: u64,
}

/// What changed in a roster since a version.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// Which publisher's count of versions this is; grows with each publisher.
    pub epoch: u64,
    /// Version since which the changes are told; none where `present` is the whole roster.
    pub base_version: Option<u64>,
    /// Changed members.
    pub changed: Vec<Member>,
    /// Members that left.
    pub removed: Vec<InstanceName>,
    /// Version reached by the update.
    pub version: u64,
}

impl Roster {
    /// Starts an empty roster whose versions belong to `epoch`.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Takes an update; one that is older than the roster or does not connect changes nothing.
    pub fn apply(&mut self, update: &RosterUpdate) {
        if (update.epoch, update.version) <= (self.epoch, self.version) {
            return;
        }
        match update.base_version {
            Some(from) if update.epoch != self.epoch || from > self.version => return,
            Some(_) => {}
            None => {
                self.slots.clear();
                self.base = update.version;
            }
        }
        self.epoch = update.epoch;
        self.version = update.version;
        update
            .changed
            .iter()
            .for_each(|member| self.set(&member.name, Some(member)));
        update.removed.iter().for_each(|name| self.set(name, None));
        self.forget_removals();
    }

    /// The publisher whose versions the roster follows.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The member of that name.
    #[must_use]
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        let position = self.position(name).ok()?;
        self.slots[position].member.as_ref()
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
        self.slots.iter().filter_map(|slot| slot.member.as_ref())
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &InstanceName) {
        if self.get(name).is_none() {
            return;
        }
        self.version += 1;
        self.set(name, None);
        self.forget_removals();
    }

    /// What changed since `version` of `epoch`; none where that is as new as this roster.
    #[must_use]
    pub fn update_since(&self, epoch: u64, version: u64) -> Option<RosterUpdate> {
        if (epoch, version) >= (self.epoch, self.version) {
            return None;
        }
        let from = (epoch == self.epoch && version >= self.base).then_some(version);
        let changed_slots = self
            .slots
            .iter()
            .filter(|slot| from.is_none_or(|from| slot.changed > from));
        Some(RosterUpdate {
            epoch: self.epoch,
            base_version: from,
            changed: changed_slots
                .clone()
                .filter_map(|slot| slot.member.clone())
                .collect(),
            removed: changed_slots
                .filter(|slot| from.is_some() && slot.member.is_none())
                .map(|slot| slot.name.clone())
                .collect(),
            version: self.version,
        })
    }

    /// Whether a later run of the member's name is listed.
    #[must_use]
    pub fn supersedes(&self, member: &Member) -> bool {
        self.get(&member.name)
            .is_some_and(|listed| listed.start_key() > member.start_key())
    }

    /// Number of changes so far.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    fn forget_removals(&mut self) {
        self.base = self
            .base
            .max(self.version.saturating_sub(TOMBSTONE_VERSIONS));
        let base = self.base;
        self.slots
            .retain(|slot| slot.member.is_some() || slot.changed > base);
    }

    fn position(&self, name: &InstanceName) -> Result<usize, usize> {
        self.slots.binary_search_by(|slot| slot.name.cmp(name))
    }

    fn set(&mut self, name: &InstanceName, member: Option<&Member>) {
        let slot = Slot {
            changed: self.version,
            member: member.cloned(),
            name: name.clone(),
        };
        match self.position(name) {
            Ok(position) => self.slots[position] = slot,
            Err(position) => self.slots.insert(position, slot),
        }
    }
}
