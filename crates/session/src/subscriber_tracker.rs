//! Tracks which subscribers are live, what each has applied, and when an edit is in force.
//!
//! Each process is tracked separately, since an older process of an instance may hold a lease at
//! the same time as a newer one. The roster lists the latest live process of each name.

use names::{Incarnation, InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{CONFIGURATION_LEASE_MS, MEMBER_TIMEOUT_MS, Member, Roster};

/// State of one instance, sent or forwarded towards the leader.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Time since the instance sent it.
    pub age_ms: u64,
    /// Revision of the table that the instance has applied.
    pub applied_revision: LogIndex,
    /// The instance.
    pub member: Member,
}

/// Whether a publisher accepted a heartbeat.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum HeartbeatResult {
    /// The heartbeat was recorded.
    Accepted,
    /// A later process of the same name is live; the sender must not serve.
    Superseded,
}

/// One process of an instance.
#[derive(Debug)]
struct TrackedProcess {
    applied_revision: LogIndex,
    last_heartbeat_ms: u64,
    member: Member,
}

type ProcessKey<'a> = (&'a InstanceName, (Incarnation, u64));

/// Tracks the subscribers of a publisher; on the leader, all instances.
#[derive(Debug)]
pub struct SubscriberTracker {
    roster: Roster,
    started_ms: u64,
    /// Sorted by name, incarnation and start nonce.
    tracked: Vec<TrackedProcess>,
}

impl SubscriberTracker {
    /// Creates a tracker without subscribers; `epoch` identifies its roster.
    #[must_use]
    pub fn new(now_ms: u64, epoch: u64) -> Self {
        Self {
            roster: Roster::new(epoch),
            started_ms: now_ms,
            tracked: Vec::new(),
        }
    }

    /// Removes processes without a heartbeat for `MEMBER_TIMEOUT_MS`; returns the names that left.
    pub fn expire(&mut self, now_ms: u64) -> Vec<InstanceName> {
        let is_live =
            |tracked: &TrackedProcess| tracked.last_heartbeat_ms + MEMBER_TIMEOUT_MS > now_ms;
        let expired: Vec<InstanceName> = self
            .tracked
            .iter()
            .filter(|tracked| !is_live(tracked))
            .map(|tracked| tracked.member.name.clone())
            .collect();
        self.tracked.retain(is_live);
        expired
            .into_iter()
            .filter(|name| {
                self.update_roster(name);
                self.roster.get(name).is_none()
            })
            .collect()
    }

    /// Records a heartbeat that a relay forwarded.
    ///
    /// It also accepts a superseded process, since the relay may have renewed that process's lease.
    pub fn record_forwarded_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        if heartbeat.age_ms >= MEMBER_TIMEOUT_MS {
            return;
        }
        self.track(now_ms.saturating_sub(heartbeat.age_ms), heartbeat);
        self.update_roster(&heartbeat.member.name);
    }

    /// Records a heartbeat that an instance sent directly.
    ///
    /// A superseded process is not recorded and must not get a lease.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> HeartbeatResult {
        if self.roster.supersedes(&heartbeat.member) {
            return HeartbeatResult::Superseded;
        }
        self.record_forwarded_heartbeat(now_ms, heartbeat);
        HeartbeatResult::Accepted
    }

    /// Heartbeats of all tracked processes, to be forwarded towards the leader.
    #[must_use]
    pub fn heartbeats(&self, now_ms: u64) -> Vec<Heartbeat> {
        self.tracked
            .iter()
            .map(|tracked| Heartbeat {
                age_ms: now_ms.saturating_sub(tracked.last_heartbeat_ms),
                applied_revision: tracked.applied_revision,
                member: tracked.member.clone(),
            })
            .collect()
    }

    /// Whether all instances that may admit work applied `revision`, accepted at `accepted_ms`.
    ///
    /// An instance without a heartbeat for one configuration lease admits nothing. A new leader
    /// does not know its predecessor's subscribers; it relies on heartbeats only after one lease.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64, revision: LogIndex, accepted_ms: u64) -> bool {
        if now_ms >= accepted_ms.max(self.started_ms) + CONFIGURATION_LEASE_MS {
            return true;
        }
        now_ms >= self.started_ms + CONFIGURATION_LEASE_MS
            && self.tracked.iter().all(|tracked| {
                tracked.applied_revision >= revision
                    || tracked.last_heartbeat_ms + CONFIGURATION_LEASE_MS <= now_ms
            })
    }

    /// The live instances.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the tracker has run long enough to know every live instance.
    #[must_use]
    pub fn knows_all_members(&self, now_ms: u64) -> bool {
        now_ms >= self.started_ms + MEMBER_TIMEOUT_MS
    }

    /// Lists the latest tracked process of a name in the roster.
    fn update_roster(&mut self, name: &InstanceName) {
        let end = self
            .tracked
            .partition_point(|tracked| tracked.member.name <= *name);
        let latest = self.tracked[..end]
            .last()
            .filter(|tracked| tracked.member.name == *name);
        match latest {
            Some(tracked) => self.roster.insert(&tracked.member),
            None => self.roster.remove(name),
        }
    }

    fn track(&mut self, last_heartbeat_ms: u64, heartbeat: &Heartbeat) {
        let member = &heartbeat.member;
        let position = self
            .tracked
            .binary_search_by(|tracked| tracked.key().cmp(&(&member.name, member.start_key())));
        match position {
            Ok(position) => self.tracked[position].update(last_heartbeat_ms, heartbeat),
            Err(position) => self.tracked.insert(
                position,
                TrackedProcess {
                    applied_revision: heartbeat.applied_revision,
                    last_heartbeat_ms,
                    member: member.clone(),
                },
            ),
        }
    }
}

impl TrackedProcess {
    fn key(&self) -> ProcessKey<'_> {
        (&self.member.name, self.member.start_key())
    }

    /// Applies a heartbeat; a late one never lowers the applied revision.
    fn update(&mut self, last_heartbeat_ms: u64, heartbeat: &Heartbeat) {
        self.applied_revision = self.applied_revision.max(heartbeat.applied_revision);
        if last_heartbeat_ms >= self.last_heartbeat_ms {
            self.last_heartbeat_ms = last_heartbeat_ms;
            self.member = heartbeat.member.clone();
        }
    }
}
