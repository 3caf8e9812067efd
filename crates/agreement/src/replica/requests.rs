use names::{InstanceName, LogIndex};

use super::Replica;
use crate::role::{Confirmation, HandOver, Leadership, Role};
use crate::{Membership, MembershipChange, Output, Payload, Proposal, Refusal, RequestNumber};

impl Replica {
    pub(super) fn on_propose(&mut self, at_ms: u64, proposals: Vec<Proposal>) {
        if let Err(refusal) = self.check_accepts() {
            for proposal in proposals {
                self.refuse(proposal.request, refusal.clone());
            }
            return;
        }
        for proposal in proposals {
            let index = self.append_entry(at_ms, Payload::Command(proposal.command));
            self.report_appended(proposal.request, index);
        }
    }

    pub(super) fn on_change(
        &mut self,
        at_ms: u64,
        change: &MembershipChange,
        request: RequestNumber,
    ) {
        match self.check_change(change) {
            Ok(membership) => {
                let index = self.append_entry(at_ms, Payload::Membership(membership));
                self.report_appended(request, index);
            }
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    pub(super) fn on_confirm(&mut self, request: RequestNumber) {
        let commit = self.commit;
        let refusal = match self.leadership() {
            Ok(leadership) if commit < leadership.term_start => Refusal::ChangePending,
            Ok(leadership) => {
                leadership.round += 1;
                leadership.confirmations.push(Confirmation {
                    index: commit,
                    request,
                    round: leadership.round,
                });
                leadership.next_heartbeat_ms = 0;
                self.on_leader_tick();
                return;
            }
            Err(refusal) => refusal,
        };
        self.refuse(request, refusal);
    }

    pub(super) fn on_hand_over(&mut self, request: RequestNumber, to: InstanceName) {
        match self.start_hand_over(to) {
            Ok(()) => self.draft.outputs.push(Output::HandingOver { request }),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    pub(super) fn refuse(&mut self, request: RequestNumber, refusal: Refusal) {
        self.draft
            .outputs
            .push(Output::Refused { refusal, request });
    }

    fn start_hand_over(&mut self, to: InstanceName) -> Result<(), Refusal> {
        self.check_accepts()?;
        let voters = self.log.membership().voters();
        let is_other_voter =
            to != self.settings.member.name && voters.iter().any(|voter| voter.name == to);
        if !is_other_voter {
            return Err(Refusal::UnknownMember { name: to });
        }
        let deadline_ms = self.clock.now_ms() + self.settings.election_timeout_ms;
        self.leadership()?.hand_over = Some(HandOver {
            deadline_ms,
            to,
            told: false,
        });
        Ok(())
    }

    fn report_appended(&mut self, request: RequestNumber, index: LogIndex) {
        self.draft.outputs.push(Output::Appended {
            index,
            request,
            term: self.hard_state.term,
        });
    }

    fn leadership(&mut self) -> Result<&mut Leadership, Refusal> {
        let leader = self.leader.as_ref().map(|leader| leader.name.clone());
        match &mut self.role {
            Role::Leader(leadership) => Ok(leadership),
            _ => Err(Refusal::NotLeader { leader }),
        }
    }

    fn check_accepts(&mut self) -> Result<(), Refusal> {
        match self.leadership()?.hand_over {
            Some(_) => Err(Refusal::HandingOver),
            None => Ok(()),
        }
    }

    fn check_change(&mut self, change: &MembershipChange) -> Result<Membership, Refusal> {
        self.check_accepts()?;
        if !self.may_change_membership() {
            return Err(Refusal::ChangePending);
        }
        let next = self.log.membership().changed(change)?;
        if let MembershipChange::Promote(name) = change {
            self.check_caught_up(name)?;
        }
        let active = self.active_voters(next.voters());
        let quorum = next.quorum();
        if active < quorum {
            return Err(Refusal::QuorumAtRisk { active, quorum });
        }
        Ok(next)
    }

    fn check_caught_up(&mut self, name: &InstanceName) -> Result<(), Refusal> {
        let commit = self.commit;
        let leadership = self.leadership()?;
        let follower = leadership
            .followers
            .iter()
            .find(|follower| follower.member.name == *name);
        let matched = follower.map_or(LogIndex(0), |follower| follower.matched);
        let missing_entries = commit.0.saturating_sub(matched.0);
        if missing_entries > 0 {
            return Err(Refusal::NotCaughtUp {
                missing_entries,
                name: name.clone(),
            });
        }
        Ok(())
    }
}
