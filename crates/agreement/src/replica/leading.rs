use names::LogIndex;

use super::Replica;
use crate::progress::{Mode, Progress};
use crate::role::{Leadership, Role};
use crate::sender::Sender;
use crate::{
    AppendAnswer, AppendResult, Entry, Member, MembershipChange, Message, Output, Payload,
    SnapshotAnswer,
};

/// A leader steps down when a write takes this many election timeouts.
const DISK_STALL_TIMEOUTS: u64 = 2;

impl Replica {
    pub(super) fn on_leader_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if !self.is_quorum_active() || self.is_disk_stalled() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership
            .hand_over
            .take_if(|hand_over| now_ms >= hand_over.deadline_ms);
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + self.settings.heartbeat_interval_ms;
            self.broadcast(true);
        }
    }

    pub(super) fn on_append_answer(&mut self, from: &Member, answer: &AppendAnswer) {
        let last = self.log.last_index();
        let Some(follower) = self.heard_follower(from, answer.round) else {
            return;
        };
        match answer.result {
            AppendResult::Matched { matched } => {
                assert!(
                    matched <= last,
                    "{from} acknowledges {matched}, the log ends at {last}"
                );
                follower.acknowledge(matched);
            }
            AppendResult::Mismatched {
                hint,
                previous_index,
            } => on_mismatch(follower, hint, previous_index),
        }
    }

    pub(super) fn on_snapshot_answer(&mut self, from: &Member, answer: &SnapshotAnswer) {
        let Some(follower) = self.heard_follower(from, answer.round) else {
            return;
        };
        if let Mode::Snapshot {
            offset_bytes,
            snapshot,
            waiting,
        } = &mut follower.mode
            && snapshot.index == answer.index
        {
            *offset_bytes = answer.received_bytes.min(snapshot.data.len() as u64);
            *waiting = false;
        }
    }

    /// Does what a leader may do after any input.
    pub(super) fn lead(&mut self) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.advance_leader_commit();
        self.step_down_if_removed();
        self.promote_learner();
        self.answer_confirmations();
        self.finish_hand_over();
        self.broadcast(false);
    }

    pub(super) fn append_entry(&mut self, at_ms: u64, payload: Payload) -> LogIndex {
        let index = LogIndex(self.log.last_index().0 + 1);
        let changes_membership = matches!(payload, Payload::Membership(_));
        self.push(Entry {
            at_ms: at_ms.max(self.log.last_at_ms()),
            index,
            payload,
            term: self.hard_state.term,
        });
        if changes_membership {
            self.refresh_followers();
        }
        index
    }

    /// Voters of a membership that answered within an election timeout, and this replica.
    pub(super) fn active_voters(&self, voters: &[Member]) -> usize {
        let Role::Leader(leadership) = &self.role else {
            return 0;
        };
        let oldest_ms = self.oldest_active_ms();
        let is_active = |voter: &&Member| {
            **voter == self.settings.member
                || leadership
                    .follower(voter)
                    .is_some_and(|follower| follower.last_active_ms >= oldest_ms)
        };
        voters.iter().filter(is_active).count()
    }

    /// Followers count as active that answered at this time or later.
    fn oldest_active_ms(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        now_ms.saturating_sub(self.settings.election_timeout_ms)
    }

    /// Whether the term and the latest membership are committed.
    pub(super) fn may_change_membership(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        self.commit >= leadership.term_start && self.commit >= self.log.membership_index()
    }

    fn is_quorum_active(&self) -> bool {
        let membership = self.log.membership();
        self.active_voters(membership.voters()) >= membership.quorum()
    }

    /// A leader with a stalled disk would keep its voters from electing one that can commit.
    fn is_disk_stalled(&self) -> bool {
        let stalled_ms = DISK_STALL_TIMEOUTS * self.settings.election_timeout_ms;
        let oldest_ms = self.writes.oldest_issued_ms();
        oldest_ms.is_some_and(|issued_ms| self.clock.now_ms() - issued_ms >= stalled_ms)
    }

    fn broadcast(&mut self, heartbeat: bool) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let mut sender = Sender {
            commit: self.commit,
            log: &self.log,
            outputs: &mut self.draft.outputs,
            round: leadership.round,
            settings: &self.settings,
            term: self.hard_state.term,
        };
        for follower in &mut leadership.followers {
            if heartbeat {
                sender.heartbeat(follower);
            } else {
                sender.fill(follower);
            }
        }
    }

    /// Follower with this very storage; any other answer is refused.
    fn heard_follower(&mut self, from: &Member, round: u64) -> Option<&mut Progress> {
        let now_ms = self.clock.now_ms();
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let at = leadership
            .followers
            .binary_search_by(|follower| follower.member.cmp(from))
            .ok()?;
        let follower = &mut leadership.followers[at];
        follower.last_active_ms = now_ms;
        follower.round = follower.round.max(round);
        Some(follower)
    }

    fn advance_leader_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut matched: Vec<LogIndex> = membership
            .voters()
            .iter()
            .map(|voter| {
                if *voter == self.settings.member {
                    return self.log.synced();
                }
                let follower = leadership.follower(voter);
                follower.map_or(LogIndex(0), |follower| follower.matched)
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched[membership.quorum() - 1];
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    fn step_down_if_removed(&mut self) {
        let is_voter = self.log.membership().is_voter(&self.settings.member);
        if !is_voter && self.commit >= self.log.membership_index() {
            self.broadcast(true);
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn promote_learner(&mut self) {
        if !self.may_change_membership() {
            return;
        }
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let oldest_ms = self.oldest_active_ms();
        let membership = self.log.membership();
        let ready = membership.learners().iter().find(|learner| {
            let follower = leadership.follower(&learner.member);
            learner.promote
                && follower.is_some_and(|follower| {
                    follower.matched >= self.commit && follower.last_active_ms >= oldest_ms
                })
        });
        let Some(learner) = ready else {
            return;
        };
        let change = MembershipChange::Promote(learner.member.name.clone());
        let promoted = membership.changed(&change).expect("the learner is known");
        self.append_entry(0, Payload::Membership(promoted));
    }

    fn answer_confirmations(&mut self) {
        let membership = self.log.membership();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let followers = &leadership.followers;
        let member = &self.settings.member;
        let confirmed_round = |round: u64| {
            let voters = membership.voters().iter();
            let answered = voters.filter(|voter| {
                *voter == member
                    || followers
                        .iter()
                        .any(|known| known.member == **voter && known.round >= round)
            });
            answered.count() >= membership.quorum()
        };
        let confirmations = &mut leadership.confirmations;
        let done: Vec<_> = confirmations
            .extract_if(.., |confirmation| confirmed_round(confirmation.round))
            .collect();
        let outputs = done.into_iter().map(|confirmation| Output::Confirmed {
            index: confirmation.index,
            request: confirmation.request,
        });
        self.draft.outputs.extend(outputs);
    }

    fn finish_hand_over(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(hand_over) = &mut leadership.hand_over else {
            return;
        };
        let target = leadership
            .followers
            .iter()
            .find(|follower| follower.member.name == hand_over.to);
        let Some(target) = target.filter(|target| target.matched == last) else {
            return;
        };
        if hand_over.told {
            return;
        }
        hand_over.told = true;
        let to = target.member.clone();
        self.send_now(&to, self.hard_state.term, Message::StartElection);
    }

    fn refresh_followers(&mut self) {
        let now_ms = self.clock.now_ms();
        let last = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        leadership.followers.retain(|follower| {
            membership
                .members()
                .any(|member| *member == follower.member)
        });
        for member in membership.members() {
            let found = leadership
                .followers
                .binary_search_by(|follower| follower.member.cmp(member));
            if let Err(at) = found
                && *member != self.settings.member
            {
                let follower = Progress::new(member.clone(), last, now_ms);
                leadership.followers.insert(at, follower);
            }
        }
    }
}

impl Leadership {
    pub(crate) fn follower(&self, member: &Member) -> Option<&Progress> {
        let at = self
            .followers
            .binary_search_by(|follower| follower.member.cmp(member))
            .ok()?;
        Some(&self.followers[at])
    }
}

fn on_mismatch(follower: &mut Progress, hint: LogIndex, previous_index: LogIndex) {
    let is_stale = previous_index <= follower.matched;
    let is_old_probe = previous_index.0 + 1 != follower.next.0;
    match follower.mode {
        Mode::Probe { .. } if !is_stale && !is_old_probe => {}
        Mode::Replicate if !is_stale => {}
        _ => return,
    }
    follower.probe_from(hint.min(LogIndex(previous_index.0 - 1)));
}
