//! Chooses the publisher that an instance subscribes to.
//!
//! Candidates are tried in order: the relay of the instance's data centre, then its other members
//! with a lower rank, then the voters. A candidate that does not answer in time loses its turn, and
//! the instance returns to the first candidate after a while.

use names::InstanceName;

use crate::{Member, Role, Roster, rendezvous_order};

/// Time after a failed attempt before a candidate is tried again.
const RETRY_AFTER_MS: u64 = 5_000;

/// The publisher in use and the ones that failed lately.
#[derive(Debug)]
pub struct Upstream {
    failed: Vec<(InstanceName, u64)>,
    own: InstanceName,
    turn: usize,
}

impl Upstream {
    /// Starts with no failure known.
    #[must_use]
    pub fn new(own: &InstanceName) -> Self {
        Self {
            failed: Vec::new(),
            own: own.clone(),
            turn: 0,
        }
    }

    /// The candidate to subscribe to now; none where every candidate failed lately.
    ///
    /// `voters` come from the settings or the replicated state, `leader` is the last known one.
    /// The first member of a data centre in rendezvous order is its relay and subscribes to the
    /// leader; the others subscribe to the relay.
    #[must_use]
    pub fn choose(
        &mut self,
        now_ms: u64,
        roster: &Roster,
        voters: &[InstanceName],
        leader: Option<&InstanceName>,
    ) -> Option<InstanceName> {
        self.failed
            .retain(|&(_, at_ms)| at_ms + RETRY_AFTER_MS > now_ms);
        let mut candidates = self.relays(roster);
        candidates.extend(leader.cloned());
        candidates.extend(self.rotated(voters));
        candidates
            .into_iter()
            .find(|name| *name != self.own && !self.has_failed(name))
    }

    /// Notes that a candidate did not answer or cannot publish.
    pub fn failed(&mut self, now_ms: u64, name: &InstanceName) {
        self.turn = self.turn.wrapping_add(1);
        self.failed.retain(|(failed, _)| failed != name);
        self.failed.push((name.clone(), now_ms));
    }

    /// Forgets all failures; used when every candidate has failed.
    pub fn forget_failures(&mut self) {
        self.failed.clear();
    }

    fn has_failed(&self, name: &InstanceName) -> bool {
        self.failed.iter().any(|(failed, _)| failed == name)
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
