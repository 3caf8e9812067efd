//! Chooses the publisher that an instance subscribes to.
//!
//! Candidates are tried in order: the relay of the instance's data centre, then its other members
//! with a lower rank, then the voters. A candidate that does not answer in time loses its turn for a
//! while that doubles with each failure. After a failure no other candidate that failed before is
//! tried for a while either, since several tries in a row would cost the lease.

use names::InstanceName;

use crate::{HEARTBEAT_INTERVAL_MS, Member, Role, Roster, rendezvous_order};

/// Most doublings of `RETRY_AFTER_MS`.
const DOUBLINGS_MAX: u32 = 3;

/// Time after a first failed attempt before a candidate is tried again.
const RETRY_AFTER_MS: u64 = 5_000;

/// A candidate that failed and has not answered since.
#[derive(Debug)]
struct Failure {
    failures: u32,
    name: InstanceName,
    retry_ms: u64,
}

/// The publisher in use and the ones that failed lately.
#[derive(Debug)]
pub struct UpstreamSelector {
    failed: Vec<Failure>,
    own: InstanceName,
    turn: usize,
    /// Set where the last attempt failed.
    unsettled: bool,
}

impl UpstreamSelector {
    /// Starts with no failure known.
    #[must_use]
    pub fn new(own: &InstanceName) -> Self {
        Self {
            failed: Vec::new(),
            own: own.clone(),
            turn: 0,
            unsettled: true,
        }
    }

    /// The candidate to subscribe to now; none where every candidate failed lately.
    ///
    /// `voters` come from the settings or the replicated state, `leader` is the last known one.
    /// The first member of a data centre in rendezvous order is its relay and subscribes to the
    /// leader; the others subscribe to the relay.
    #[must_use]
    pub fn choose(
        &self,
        now_ms: u64,
        roster: &Roster,
        voters: &[InstanceName],
        leader: Option<&InstanceName>,
    ) -> Option<InstanceName> {
        let mut candidates = self.relays(roster);
        candidates.extend(leader.cloned());
        candidates.extend(self.rotated(voters));
        candidates
            .into_iter()
            .find(|name| *name != self.own && !self.must_wait(now_ms, name))
    }

    /// Notes that a candidate answered.
    pub fn record_answer(&mut self, name: &InstanceName) {
        self.unsettled = false;
        self.forget(name);
    }

    /// Notes that a candidate did not answer or cannot publish.
    pub fn record_failure(&mut self, now_ms: u64, name: &InstanceName) {
        self.turn = self.turn.wrapping_add(1);
        let mut failures = 0;
        for failure in &mut self.failed {
            failure.retry_ms = failure.retry_ms.max(now_ms + RETRY_AFTER_MS);
            if failure.name == *name {
                failures = failure.failures;
            }
        }
        self.forget(name);
        self.unsettled = true;
        self.failed.push(Failure {
            failures: failures + 1,
            name: name.clone(),
            retry_ms: now_ms + (RETRY_AFTER_MS << failures.min(DOUBLINGS_MAX)),
        });
    }

    /// Forgets all failures; used when every candidate has failed.
    pub fn forget_failures(&mut self) {
        self.failed.clear();
    }

    /// Longest time that the next publisher may keep a request open without news.
    ///
    /// After a failure the first answer is wanted at once, since the lease is running out.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.unsettled {
            0
        } else {
            HEARTBEAT_INTERVAL_MS
        }
    }

    fn forget(&mut self, name: &InstanceName) {
        self.failed.retain(|failure| failure.name != *name);
    }

    fn must_wait(&self, now_ms: u64, name: &InstanceName) -> bool {
        self.failed
            .iter()
            .any(|failure| failure.name == *name && failure.retry_ms > now_ms)
    }

    /// The members of the own data centre that rank before this instance, best first.
    fn relays(&self, roster: &Roster) -> Vec<InstanceName> {
        let Some(own) = roster.get(&self.own) else {
            return Vec::new();
        };
        if own.roles.contains(&Role::Control) {
            return Vec::new();
        }
        let same = |member: &&Member| member.data_centre == own.data_centre;
        rendezvous_order(own.data_centre.as_str(), roster.members().filter(same))
            .into_iter()
            .take_while(|name| **name != self.own)
            .cloned()
            .collect()
    }

    fn rotated(&self, voters: &[InstanceName]) -> Vec<InstanceName> {
        let start = self.turn % voters.len().max(1);
        voters[start..]
            .iter()
            .chain(&voters[..start])
            .cloned()
            .collect()
    }
}
