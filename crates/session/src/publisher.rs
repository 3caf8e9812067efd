//! Tracks subscribers: who is live, what each has applied, and when an edit is in force.

use names::{InstanceName, LogIndex};
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
pub enum Heard {
    /// It counts.
    Accepted,
    /// Another run of the same name is live; this one must not serve.
    Superseded,
}

#[derive(Debug)]
struct Tracked {
    applied: LogIndex,
    heard_ms: u64,
    name: InstanceName,
}

/// Subscribers of a publisher, and at the leader all instances.
#[derive(Debug)]
pub struct Publisher {
    roster: Roster,
    since_ms: u64,
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

    /// Removes instances that have not been heard for `MEMBER_TIMEOUT_MS`; returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<InstanceName> {
        let live = |tracked: &Tracked| tracked.heard_ms + MEMBER_TIMEOUT_MS > now_ms;
        let expired: Vec<InstanceName> = self
            .tracked
            .iter()
            .filter(|tracked| !live(tracked))
            .map(|tracked| tracked.name.clone())
            .collect();
        self.tracked.retain(live);
        for name in &expired {
            self.roster.remove(name);
        }
        expired
    }

    /// Takes a heartbeat.
    pub fn heard(&mut self, now_ms: u64, heartbeat: &Heartbeat) -> Heard {
        let heard_ms = now_ms.saturating_sub(heartbeat.age_ms);
        if heard_ms + MEMBER_TIMEOUT_MS <= now_ms {
            return Heard::Accepted;
        }
        let member = &heartbeat.member;
        if self.superseded(member) {
            return Heard::Superseded;
        }
        self.track(heard_ms, heartbeat);
        self.roster.insert(member);
        Heard::Accepted
    }

    /// Heartbeats of all tracked instances, to be passed on upwards.
    #[must_use]
    pub fn heartbeats(&self, now_ms: u64) -> Vec<Heartbeat> {
        self.tracked
            .iter()
            .filter_map(|tracked| {
                Some(Heartbeat {
                    age_ms: now_ms.saturating_sub(tracked.heard_ms),
                    applied: tracked.applied,
                    member: self.roster.get(&tracked.name)?.clone(),
                })
            })
            .collect()
    }

    /// Whether every instance that may admit work has applied `revision`, accepted at `accepted_ms`.
    ///
    /// An instance that is silent for a configuration lease admits nothing. A new leader does not
    /// know whom its predecessor served, so it relies on heartbeats only after one lease.
    #[must_use]
    pub fn in_force(&self, now_ms: u64, revision: LogIndex, accepted_ms: u64) -> bool {
        if now_ms >= accepted_ms.max(self.since_ms) + CONFIGURATION_LEASE_MS {
            return true;
        }
        now_ms >= self.since_ms + CONFIGURATION_LEASE_MS
            && self.tracked.iter().all(|tracked| {
                tracked.applied >= revision || tracked.heard_ms + CONFIGURATION_LEASE_MS <= now_ms
            })
    }

    /// The live instances.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the publisher has been one for long enough to know every live instance.
    #[must_use]
    pub fn settled(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + MEMBER_TIMEOUT_MS
    }

    fn superseded(&self, member: &Member) -> bool {
        self.roster.get(&member.name).is_some_and(|known| {
            !known.same_run(member)
                && (member.incarnation, member.run) < (known.incarnation, known.run)
        })
    }

    fn track(&mut self, heard_ms: u64, heartbeat: &Heartbeat) {
        let name = &heartbeat.member.name;
        let position = self
            .tracked
            .binary_search_by(|tracked| tracked.name.cmp(name));
        match position {
            Ok(position) => {
                let tracked = &mut self.tracked[position];
                tracked.heard_ms = tracked.heard_ms.max(heard_ms);
                tracked.applied = heartbeat.applied;
            }
            Err(position) => self.tracked.insert(
                position,
                Tracked {
                    applied: heartbeat.applied,
                    heard_ms,
                    name: name.clone(),
                },
            ),
        }
    }
}
