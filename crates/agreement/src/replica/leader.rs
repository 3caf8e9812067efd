use names::LogIndex;

use super::Replica;
use crate::progress::{FollowerProgress, ReplicationMode};
use crate::replication_sender::ReplicationSender;
use crate::role::{LeaderState, RoleState};
use crate::{
    AppendResponse, AppendResult, Entry, Member, MembershipChange, Message, Output, Payload,
    SnapshotResponse,
};

/// A leader steps down if a write takes this many election timeouts.
const DISK_STALL_ELECTION_TIMEOUTS: u64 = 2;

impl Replica {
    pub(super) fn on_leader_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if !self.is_quorum_active() || self.is_disk_stalled() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state
            .leadership_transfer
            .take_if(|leadership_transfer| now_ms >= leadership_transfer.deadline_ms);
        if now_ms >= leader_state.next_heartbeat_ms {
            leader_state.next_heartbeat_ms = now_ms + self.settings.heartbeat_interval_ms;
            self.broadcast(true);
        }
    }

    pub(super) fn on_append_response(&mut self, from: &Member, response: &AppendResponse) {
        let last = self.log.last_index();
        let Some(follower) = self.record_follower_response(from, response.confirmation_round)
        else {
            return;
        };
        match response.result {
            AppendResult::Matched { match_index } => {
                assert!(
                    match_index <= last,
                    "{from} acknowledges {match_index}, the log ends at {last}"
                );
                follower.acknowledge(match_index);
            }
            AppendResult::Mismatched {
                hint,
                previous_index,
            } => on_mismatch(follower, hint, previous_index),
        }
    }

    pub(super) fn on_snapshot_response(&mut self, from: &Member, response: &SnapshotResponse) {
        let Some(follower) = self.record_follower_response(from, response.confirmation_round)
        else {
            return;
        };
        if let ReplicationMode::Snapshot {
            is_awaiting_response,
            offset_bytes,
            snapshot,
        } = &mut follower.mode
            && snapshot.index == response.index
        {
            *offset_bytes = response.received_bytes.min(snapshot.data.len() as u64);
            *is_awaiting_response = false;
        }
    }

    /// Advances a leader's state after an input: commit index, membership, reads, sending.
    pub(super) fn advance_leader(&mut self) {
        if !matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        self.advance_leader_commit();
        self.step_down_if_removed();
        self.promote_learner();
        self.complete_read_indexes();
        self.send_timeout_now();
        self.broadcast(false);
    }

    pub(super) fn append_entry(&mut self, timestamp_ms: u64, payload: Payload) -> LogIndex {
        let index = LogIndex(self.log.last_index().0 + 1);
        let changes_membership = matches!(payload, Payload::Membership(_));
        self.push(Entry {
            timestamp_ms: timestamp_ms.max(self.log.last_timestamp_ms()),
            index,
            payload,
            term: self.hard_state.term,
        });
        if changes_membership {
            self.update_followers();
        }
        index
    }

    /// Number of `voters` that responded within an election timeout, including this replica.
    pub(super) fn active_voters(&self, voters: &[Member]) -> usize {
        let RoleState::Leader(leader_state) = &self.role else {
            return 0;
        };
        let active_since_ms = self.active_since_ms();
        let is_active = |voter: &&Member| {
            **voter == self.settings.member
                || leader_state
                    .follower(voter)
                    .is_some_and(|follower| follower.last_response_ms >= active_since_ms)
        };
        voters.iter().filter(is_active).count()
    }

    /// A follower is active if its latest response is not older than this time.
    fn active_since_ms(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        now_ms.saturating_sub(self.settings.election_timeout_ms)
    }

    /// Whether an entry of this term and the latest membership are committed.
    pub(super) fn may_change_membership(&self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        self.commit_index >= leader_state.term_start_index
            && self.commit_index >= self.log.membership_index()
    }

    fn is_quorum_active(&self) -> bool {
        let membership = self.log.membership();
        self.active_voters(membership.voters()) >= membership.quorum()
    }

    /// Whether the oldest write takes too long. The heartbeats of a leader with a stalled disk
    /// would keep the voters from electing a leader that can commit.
    fn is_disk_stalled(&self) -> bool {
        let stalled_ms = DISK_STALL_ELECTION_TIMEOUTS * self.settings.election_timeout_ms;
        let oldest_ms = self.writes.oldest_issued_ms();
        oldest_ms.is_some_and(|issued_ms| self.clock.now_ms() - issued_ms >= stalled_ms)
    }

    fn broadcast(&mut self, is_heartbeat: bool) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let mut sender = ReplicationSender {
            commit_index: self.commit_index,
            confirmation_round: leader_state.confirmation_round,
            log: &self.log,
            outputs: &mut self.effects.outputs,
            settings: &self.settings,
            term: self.hard_state.term,
        };
        for follower in &mut leader_state.followers {
            if is_heartbeat {
                sender.send_heartbeat(follower);
            } else {
                sender.send_pending(follower);
            }
        }
    }

    /// Records a response; `None` if no follower has the sender's storage identity.
    fn record_follower_response(
        &mut self,
        from: &Member,
        confirmation_round: u64,
    ) -> Option<&mut FollowerProgress> {
        let now_ms = self.clock.now_ms();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return None;
        };
        let position = leader_state
            .followers
            .binary_search_by(|follower| follower.member.cmp(from))
            .ok()?;
        let follower = &mut leader_state.followers[position];
        follower.last_response_ms = now_ms;
        follower.confirmation_round = follower.confirmation_round.max(confirmation_round);
        Some(follower)
    }

    fn advance_leader_commit(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut match_indexes: Vec<LogIndex> = membership
            .voters()
            .iter()
            .map(|voter| {
                if *voter == self.settings.member {
                    return self.log.durable_index();
                }
                let follower = leader_state.follower(voter);
                follower.map_or(LogIndex(0), |follower| follower.match_index)
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes[membership.quorum() - 1];
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
    }

    fn step_down_if_removed(&mut self) {
        let is_voter = self.log.membership().is_voter(&self.settings.member);
        if !is_voter && self.commit_index >= self.log.membership_index() {
            self.broadcast(true);
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn promote_learner(&mut self) {
        if !self.may_change_membership() {
            return;
        }
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let active_since_ms = self.active_since_ms();
        let membership = self.log.membership();
        let ready = membership.learners().iter().find(|learner| {
            let follower = leader_state.follower(&learner.member);
            learner.promote
                && follower.is_some_and(|follower| {
                    follower.match_index >= self.commit_index
                        && follower.last_response_ms >= active_since_ms
                })
        });
        let Some(learner) = ready else {
            return;
        };
        let change = MembershipChange::Promote(learner.member.name.clone());
        let promoted = membership
            .with_change(&change)
            .expect("the learner is a member");
        self.append_entry(0, Payload::Membership(promoted));
    }

    fn complete_read_indexes(&mut self) {
        let membership = self.log.membership();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let followers = &leader_state.followers;
        let member = &self.settings.member;
        let is_confirmed = |confirmation_round: u64| {
            let voters = membership.voters().iter();
            let answered = voters.filter(|voter| {
                *voter == member
                    || followers.iter().any(|known| {
                        known.member == **voter && known.confirmation_round >= confirmation_round
                    })
            });
            answered.count() >= membership.quorum()
        };
        let pending_read_indexes = &mut leader_state.pending_read_indexes;
        let confirmed: Vec<_> = pending_read_indexes
            .extract_if(.., |read| is_confirmed(read.confirmation_round))
            .collect();
        let outputs = confirmed.into_iter().map(|read| Output::ReadIndex {
            index: read.index,
            request: read.request,
        });
        self.effects.outputs.extend(outputs);
    }

    fn send_timeout_now(&mut self) {
        let last = self.log.last_index();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(leadership_transfer) = &mut leader_state.leadership_transfer else {
            return;
        };
        let target = leader_state
            .followers
            .iter()
            .find(|follower| follower.member.name == leadership_transfer.target);
        let Some(target) = target.filter(|target| target.match_index == last) else {
            return;
        };
        if leadership_transfer.is_timeout_now_sent {
            return;
        }
        leadership_transfer.is_timeout_now_sent = true;
        let to = target.member.clone();
        self.send_now(&to, self.hard_state.term, Message::TimeoutNow);
    }

    fn update_followers(&mut self) {
        let now_ms = self.clock.now_ms();
        let last = self.log.last_index();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        leader_state.followers.retain(|follower| {
            membership
                .members()
                .any(|member| *member == follower.member)
        });
        for member in membership.members() {
            let search_result = leader_state
                .followers
                .binary_search_by(|follower| follower.member.cmp(member));
            if let Err(position) = search_result
                && *member != self.settings.member
            {
                let follower = FollowerProgress::new(member.clone(), last, now_ms);
                leader_state.followers.insert(position, follower);
            }
        }
    }
}

impl LeaderState {
    pub(crate) fn follower(&self, member: &Member) -> Option<&FollowerProgress> {
        let position = self
            .followers
            .binary_search_by(|follower| follower.member.cmp(member))
            .ok()?;
        Some(&self.followers[position])
    }
}

fn on_mismatch(follower: &mut FollowerProgress, hint: LogIndex, previous_index: LogIndex) {
    let is_already_matched = previous_index <= follower.match_index;
    let is_outdated_probe = previous_index.0 + 1 != follower.next_index.0;
    match follower.mode {
        ReplicationMode::Probe { .. } if !is_already_matched && !is_outdated_probe => {}
        ReplicationMode::Replicate if !is_already_matched => {}
        _ => return,
    }
    follower.probe_from(hint.min(LogIndex(previous_index.0 - 1)));
}
