use names::LogIndex;

use super::{Replica, refuse_vote};
use crate::progress::Progress;
use crate::role::{Leadership, Role};
use crate::{HardState, Member, Message, Payload, Term, VoteAnswer, VoteRequest};

impl Replica {
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.leader = None;
        self.role = Role::PreCandidate {
            votes: vec![self.settings.member.clone()],
        };
        let term = Term(self.hard_state.term.0 + 1);
        let request = self.vote_request(false, true);
        for voter in self.other_voters() {
            self.send_now(&voter, term, request.clone());
        }
        self.count_votes();
    }

    pub(super) fn on_start_election(&mut self, from: &Member) {
        let is_voter = self.log.membership().is_voter(&self.settings.member);
        if is_voter && self.leader.as_ref() == Some(from) {
            self.campaign(true);
        }
    }

    pub(super) fn on_vote_request(&mut self, from: &Member, term: Term, request: &VoteRequest) {
        if !request.forced && self.has_live_leader() {
            self.note_outsider(from);
            return;
        }
        let up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        if request.pre_vote {
            self.answer_pre_vote(from, term, up_to_date);
            return;
        }
        if term != self.hard_state.term {
            return;
        }
        let free = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == from);
        if !free || !up_to_date {
            self.hold(from, refuse_vote(false));
            return;
        }
        if self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.draft.hard_state = true;
        }
        self.reset_election_deadline();
        let granted = VoteAnswer {
            granted: true,
            pre_vote: false,
        };
        self.hold(from, Message::VoteAnswer(granted));
    }

    pub(super) fn on_vote_answer(&mut self, from: Member, term: Term, answer: &VoteAnswer) {
        if !answer.granted || !self.log.membership().is_voter(&from) {
            return;
        }
        let next_term = Term(self.hard_state.term.0 + 1);
        let current_term = self.hard_state.term;
        let votes = match &mut self.role {
            Role::PreCandidate { votes } if answer.pre_vote && term == next_term => votes,
            Role::Candidate { votes } if !answer.pre_vote && term == current_term => votes,
            _ => return,
        };
        if !votes.contains(&from) {
            votes.push(from);
        }
        self.count_votes();
    }

    /// Counts this replica's own vote once it is durable.
    pub(super) fn on_own_vote(&mut self, term: Term) {
        if term != self.hard_state.term {
            return;
        }
        if let Role::Candidate { votes } = &mut self.role {
            votes.push(self.settings.member.clone());
            self.count_votes();
        }
    }

    pub(super) fn has_live_leader(&self) -> bool {
        let age_ms = self.clock.now_ms() - self.last_leader_ms;
        match self.role {
            Role::Leader(_) => true,
            _ => self.leader.is_some() && age_ms < self.settings.election_timeout_ms,
        }
    }

    fn answer_pre_vote(&mut self, from: &Member, term: Term, up_to_date: bool) {
        if up_to_date && term > self.hard_state.term {
            let granted = VoteAnswer {
                granted: true,
                pre_vote: true,
            };
            self.send_now(from, term, Message::VoteAnswer(granted));
        } else {
            self.hold(from, refuse_vote(true));
        }
    }

    fn count_votes(&mut self) {
        let membership = self.log.membership();
        let (votes, pre_vote) = match &self.role {
            Role::Candidate { votes } => (votes, false),
            Role::PreCandidate { votes } => (votes, true),
            _ => return,
        };
        let counted = votes
            .iter()
            .filter(|vote| membership.is_voter(vote))
            .count();
        if counted < membership.quorum() {
            return;
        }
        if pre_vote {
            self.campaign(false);
        } else {
            self.become_leader();
        }
    }

    fn campaign(&mut self, forced: bool) {
        self.hard_state = HardState {
            term: Term(self.hard_state.term.0 + 1),
            vote: Some(self.settings.member.clone()),
        };
        self.draft.hard_state = true;
        self.draft.own_vote = Some(self.hard_state.term);
        self.leader = None;
        self.role = Role::Candidate { votes: Vec::new() };
        self.reset_election_deadline();
        let request = self.vote_request(forced, false);
        for voter in self.other_voters() {
            self.hold(&voter, request.clone());
        }
    }

    fn become_leader(&mut self) {
        let now_ms = self.clock.now_ms();
        let last = self.log.last_index();
        let mut followers: Vec<Progress> = self
            .log
            .membership()
            .members()
            .filter(|member| **member != self.settings.member)
            .map(|member| Progress::new(member.clone(), last, now_ms))
            .collect();
        followers.sort_by(|a, b| a.member.cmp(&b.member));
        self.leader = Some(self.settings.member.clone());
        self.role = Role::Leader(Leadership {
            confirmations: Vec::new(),
            followers,
            hand_over: None,
            next_heartbeat_ms: now_ms,
            round: 0,
            term_start: LogIndex(last.0 + 1),
        });
        self.append_entry(0, Payload::Noop);
        self.on_leader_tick();
    }

    fn vote_request(&self, forced: bool, pre_vote: bool) -> Message {
        Message::VoteRequest(VoteRequest {
            forced,
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
