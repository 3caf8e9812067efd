//! Chooses the publisher that an instance subscribes to.
//!
//! Candidates are tried in order: the relay of the instance's data centre, then the other members
//! that rank before the instance, then the voters. A candidate that does not answer in time is
//! skipped for a time that doubles with each failure. After a failure, all candidates that failed
//! before are skipped too, since several failed attempts in a row would cost the lease.

use names::InstanceName;

use crate::{HEARTBEAT_INTERVAL_MS, Member, Role, Roster, rendezvous_order};

/// Time before a candidate is tried again after its first failure.
const RETRY_DELAY_MS: u64 = 5_000;

/// Most doublings of `RETRY_DELAY_MS`.
const RETRY_DOUBLINGS_MAX: u32 = 3;

/// A candidate that failed and has not answered since.
#[derive(Debug)]
struct FailedCandidate {
    failure_count: u32,
    name: InstanceName,
    retry_at_ms: u64,
}

/// Selects the publisher to subscribe to; skips candidates that failed recently.
#[derive(Debug)]
pub struct UpstreamSelector {
    failed: Vec<FailedCandidate>,
    /// Set before the first answer and after a failed attempt.
    needs_prompt_answer: bool,
    own: InstanceName,
    voter_offset: usize,
}

impl UpstreamSelector {
    /// Creates a selector for the instance `own`, without failures.
    #[must_use]
    pub fn new(own: &InstanceName) -> Self {
        Self {
            failed: Vec::new(),
            needs_prompt_answer: true,
            own: own.clone(),
            voter_offset: 0,
        }
    }

    /// The candidate to subscribe to now; `None` if every candidate failed recently.
    ///
    /// `voters` come from the settings or the replicated state; `leader` is the last known leader.
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
        let mut candidates = self.preferred_relays(roster);
        candidates.extend(leader.cloned());
        candidates.extend(self.rotated_voters(voters));
        candidates
            .into_iter()
            .find(|name| *name != self.own && !self.is_backing_off(now_ms, name))
    }

    /// Records that a candidate answered.
    pub fn record_answer(&mut self, name: &InstanceName) {
        self.needs_prompt_answer = false;
        self.remove_failure(name);
    }

    /// Records that a candidate did not answer or cannot publish.
    pub fn record_failure(&mut self, now_ms: u64, name: &InstanceName) {
        self.voter_offset = self.voter_offset.wrapping_add(1);
        let mut failure_count = 0;
        for failure in &mut self.failed {
            failure.retry_at_ms = failure.retry_at_ms.max(now_ms + RETRY_DELAY_MS);
            if failure.name == *name {
                failure_count = failure.failure_count;
            }
        }
        self.remove_failure(name);
        self.needs_prompt_answer = true;
        self.failed.push(FailedCandidate {
            failure_count: failure_count + 1,
            name: name.clone(),
            retry_at_ms: now_ms + (RETRY_DELAY_MS << failure_count.min(RETRY_DOUBLINGS_MAX)),
        });
    }

    /// Clears all failures; used when every candidate has failed.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
    }

    /// Longest time that the next publisher may keep a request open without a change.
    ///
    /// After a failure the next answer must come immediately, since the lease is running out.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.needs_prompt_answer {
            0
        } else {
            HEARTBEAT_INTERVAL_MS
        }
    }

    fn remove_failure(&mut self, name: &InstanceName) {
        self.failed.retain(|failure| failure.name != *name);
    }

    fn is_backing_off(&self, now_ms: u64, name: &InstanceName) -> bool {
        self.failed
            .iter()
            .any(|failure| failure.name == *name && failure.retry_at_ms > now_ms)
    }

    /// Members of this instance's data centre that rank before it, best first.
    fn preferred_relays(&self, roster: &Roster) -> Vec<InstanceName> {
        let Some(own) = roster.get(&self.own) else {
            return Vec::new();
        };
        if own.roles.contains(&Role::Control) {
            return Vec::new();
        }
        let is_local = |member: &&Member| member.data_centre == own.data_centre;
        rendezvous_order(own.data_centre.as_str(), roster.members().filter(is_local))
            .into_iter()
            .take_while(|name| **name != self.own)
            .cloned()
            .collect()
    }

    fn rotated_voters(&self, voters: &[InstanceName]) -> Vec<InstanceName> {
        let start = self.voter_offset % voters.len().max(1);
        voters[start..]
            .iter()
            .chain(&voters[..start])
            .cloned()
            .collect()
    }
}
