use names::LogIndex;

use super::{Replica, reject_vote};
use crate::progress::FollowerProgress;
use crate::role::{LeaderState, RoleState};
use crate::{HardState, Member, Message, Payload, Term, VoteRequest, VoteResponse};

impl Replica {
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.leader = None;
        self.role = RoleState::PreCandidate {
            votes: vec![self.settings.member.clone()],
        };
        let term = Term(self.hard_state.term.0 + 1);
        let request = self.vote_request(false, true);
        for voter in self.other_voters() {
            self.send_now(&voter, term, request.clone());
        }
        self.count_votes();
    }

    pub(super) fn on_timeout_now(&mut self, from: &Member) {
        let is_voter = self.log.membership().is_voter(&self.settings.member);
        if is_voter && self.leader.as_ref() == Some(from) {
            self.campaign(true);
        }
    }

    pub(super) fn on_vote_request(&mut self, from: &Member, term: Term, request: &VoteRequest) {
        if !request.is_leadership_transfer && self.has_active_leader() {
            self.record_non_member(from);
            return;
        }
        let is_log_up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        if request.pre_vote {
            self.respond_to_pre_vote(from, term, is_log_up_to_date);
            return;
        }
        if term != self.hard_state.term {
            return;
        }
        let can_vote = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == from);
        if !can_vote || !is_log_up_to_date {
            self.send_when_durable(from, reject_vote(false));
            return;
        }
        if self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.effects.is_hard_state_changed = true;
        }
        self.reset_election_deadline();
        let granted = VoteResponse {
            granted: true,
            pre_vote: false,
        };
        self.send_when_durable(from, Message::VoteResponse(granted));
    }

    pub(super) fn on_vote_response(&mut self, from: Member, term: Term, response: &VoteResponse) {
        if !response.granted || !self.log.membership().is_voter(&from) {
            return;
        }
        let next_term = Term(self.hard_state.term.0 + 1);
        let current_term = self.hard_state.term;
        let votes = match &mut self.role {
            RoleState::PreCandidate { votes } if response.pre_vote && term == next_term => votes,
            RoleState::Candidate { votes } if !response.pre_vote && term == current_term => votes,
            _ => return,
        };
        if !votes.contains(&from) {
            votes.push(from);
        }
        self.count_votes();
    }

    /// Counts this replica's vote for itself, which is durable now.
    pub(super) fn on_self_vote_durable(&mut self, term: Term) {
        if term != self.hard_state.term {
            return;
        }
        if let RoleState::Candidate { votes } = &mut self.role {
            votes.push(self.settings.member.clone());
            self.count_votes();
        }
    }

    pub(super) fn has_active_leader(&self) -> bool {
        let age_ms = self.clock.now_ms() - self.last_leader_message_ms;
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && age_ms < self.settings.election_timeout_ms,
        }
    }

    fn respond_to_pre_vote(&mut self, from: &Member, term: Term, is_log_up_to_date: bool) {
        if is_log_up_to_date && term > self.hard_state.term {
            let granted = VoteResponse {
                granted: true,
                pre_vote: true,
            };
            self.send_now(from, term, Message::VoteResponse(granted));
        } else {
            self.send_when_durable(from, reject_vote(true));
        }
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let (votes, pre_vote) = match &self.role {
            RoleState::Candidate { votes } => (votes, false),
            RoleState::PreCandidate { votes } => (votes, true),
            _ => return,
        };
        let granted_votes = votes
            .iter()
            .filter(|vote| membership.is_voter(vote))
            .count();
        if granted_votes < membership.quorum() {
            return;
        }
        if pre_vote {
            self.campaign(false);
        } else {
            self.become_leader();
        }
    }

    fn campaign(&mut self, is_leadership_transfer: bool) {
        self.hard_state = HardState {
            term: Term(self.hard_state.term.0 + 1),
            vote: Some(self.settings.member.clone()),
        };
        self.effects.is_hard_state_changed = true;
        self.effects.self_vote_term = Some(self.hard_state.term);
        self.leader = None;
        self.role = RoleState::Candidate { votes: Vec::new() };
        self.reset_election_deadline();
        let request = self.vote_request(is_leadership_transfer, false);
        for voter in self.other_voters() {
            self.send_when_durable(&voter, request.clone());
        }
    }

    fn become_leader(&mut self) {
        let now_ms = self.clock.now_ms();
        let last = self.log.last_index();
        let mut followers: Vec<FollowerProgress> = self
            .log
            .membership()
            .members()
            .filter(|member| **member != self.settings.member)
            .map(|member| FollowerProgress::new(member.clone(), last, now_ms))
            .collect();
        followers.sort_by(|a, b| a.member.cmp(&b.member));
        self.leader = Some(self.settings.member.clone());
        self.role = RoleState::Leader(LeaderState {
            confirmation_round: 0,
            followers,
            leadership_transfer: None,
            next_heartbeat_ms: now_ms,
            pending_read_indexes: Vec::new(),
            term_start_index: LogIndex(last.0 + 1),
        });
        self.append_entry(0, Payload::Noop);
        self.on_leader_tick();
    }

    fn vote_request(&self, is_leadership_transfer: bool, pre_vote: bool) -> Message {
        Message::VoteRequest(VoteRequest {
            is_leadership_transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
        })
    }

    fn other_voters(&self) -> Vec<Member> {
        let voters = self.log.membership().voters().iter();
        voters
            .filter(|voter| **voter != self.settings.member)
            .cloned()
            .collect()
    }
}
