//! Tracks subscribers: who is live, what each has applied, and when an edit is in force.
//!
//! Each run of a name is tracked on its own, since an older run may hold a lease beside a newer one.
//! The roster lists the latest live run of each name.

use names::{Incarnation, InstanceName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{CONFIGURATION_LEASE_MS, MEMBER_TIMEOUT_MS, Member, Roster};

/// News of one instance on its way to the leader.
#[derive(Debug, Clone, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// How long ago the instance sent it.
    pub age_ms: u64,
    /// Revision of the table that the instance has applied.
    pub applied: LogIndex,
    /// The instance.
    pub member: Member,
}

/// What a publisher made of a heartbeat.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum HeartbeatResult {
    /// It counts.
    Accepted,
    /// Another run of the same name is live; this one must not serve.
    Superseded,
}

/// One run of an instance.
#[derive(Debug)]
struct Tracked {
    applied: LogIndex,
    last_heartbeat_ms: u64,
    member: Member,
}

type RunKey<'a> = (&'a InstanceName, (Incarnation, u64));

/// Subscribers of a publisher, and at the leader all instances.
#[derive(Debug)]
pub struct Publisher {
    roster: Roster,
    since_ms: u64,
    /// Sorted by name and run.
    tracked: Vec<Tracked>,
}

impl Publisher {
    /// Starts without subscribers at `now_ms`; `epoch` numbers this publisher's roster.
    #[must_use]
    pub fn new(now_ms: u64, epoch: u64) -> Self {
        Self {
            roster: Roster::new(epoch),
            since_ms: now_ms,
            tracked: Vec::new(),
        }
    }

    /// Removes runs that have not been heard for `MEMBER_TIMEOUT_MS`; returns the names that left.
    pub fn expire(&mut self, now_ms: u64) -> Vec<InstanceName> {
        let live = |tracked: &Tracked| tracked.last_heartbeat_ms + MEMBER_TIMEOUT_MS > now_ms;
        let expired: Vec<InstanceName> = self
            .tracked
            .iter()
            .filter(|tracked| !live(tracked))
            .map(|tracked| tracked.member.name.clone())
            .collect();
        self.tracked.retain(live);
        expired
            .into_iter()
            .filter(|name| {
                self.list(name);
                self.roster.get(name).is_none()
            })
            .collect()
    }

    /// Takes a heartbeat that a relay passed on.
    ///
    /// A superseded run counts too: the relay may have renewed its lease.
    pub fn record_forwarded_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        if heartbeat.age_ms >= MEMBER_TIMEOUT_MS {
            return;
        }
        self.track(now_ms.saturating_sub(heartbeat.age_ms), heartbeat);
        self.list(&heartbeat.member.name);
    }

    /// Takes a heartbeat that an instance sent here itself.
    ///
    /// A superseded run must be refused a lease and does not count.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> HeartbeatResult {
        if self.roster.supersedes(&heartbeat.member) {
            return HeartbeatResult::Superseded;
        }
        self.record_forwarded_heartbeat(now_ms, heartbeat);
        HeartbeatResult::Accepted
    }

    /// Heartbeats of all tracked runs, to be passed on upwards.
    #[must_use]
    pub fn heartbeats(&self, now_ms: u64) -> Vec<Heartbeat> {
        self.tracked
            .iter()
            .map(|tracked| Heartbeat {
                age_ms: now_ms.saturating_sub(tracked.last_heartbeat_ms),
                applied: tracked.applied,
                member: tracked.member.clone(),
            })
            .collect()
    }

    /// Whether every instance that may admit work has applied `revision`, accepted at `accepted_ms`.
    ///
    /// An instance that is silent for a configuration lease admits nothing. A new leader does not
    /// know whom its predecessor served, so it relies on heartbeats only after one lease.
    #[must_use]
    pub fn is_in_force(&self, now_ms: u64, revision: LogIndex, accepted_ms: u64) -> bool {
        if now_ms >= accepted_ms.max(self.since_ms) + CONFIGURATION_LEASE_MS {
            return true;
        }
        now_ms >= self.since_ms + CONFIGURATION_LEASE_MS
            && self.tracked.iter().all(|tracked| {
                tracked.applied >= revision
                    || tracked.last_heartbeat_ms + CONFIGURATION_LEASE_MS <= now_ms
            })
    }

    /// The live instances.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the publisher has been one for long enough to know every live instance.
    #[must_use]
    pub fn knows_all_members(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + MEMBER_TIMEOUT_MS
    }

    /// Lists the latest tracked run of a name.
    fn list(&mut self, name: &InstanceName) {
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
            Ok(position) => self.tracked[position].take(last_heartbeat_ms, heartbeat),
            Err(position) => self.tracked.insert(
                position,
                Tracked {
                    applied: heartbeat.applied,
                    last_heartbeat_ms,
                    member: member.clone(),
                },
            ),
        }
    }
}

impl Tracked {
    fn key(&self) -> RunKey<'_> {
        (&self.member.name, self.member.start_key())
    }

    /// Heartbeats may arrive late; what a run has applied never goes back.
    fn take(&mut self, last_heartbeat_ms: u64, heartbeat: &Heartbeat) {
        self.applied = self.applied.max(heartbeat.applied);
        if last_heartbeat_ms >= self.last_heartbeat_ms {
            self.last_heartbeat_ms = last_heartbeat_ms;
            self.member = heartbeat.member.clone();
        }
    }
}
