use names::{InstanceName, LogIndex};

use super::Replica;
use crate::role::{LeaderState, LeadershipTransfer, PendingReadIndex, RoleState};
use crate::{
    Membership, MembershipChange, Output, Payload, Proposal, RejectReason, ReplicaRequestId,
};

impl Replica {
    pub(super) fn on_propose(&mut self, timestamp_ms: u64, proposals: Vec<Proposal>) {
        if let Err(reason) = self.check_no_leadership_transfer() {
            for proposal in proposals {
                self.reject(proposal.request, reason.clone());
            }
            return;
        }
        for proposal in proposals {
            let index = self.append_entry(timestamp_ms, Payload::Command(proposal.command));
            self.report_appended(proposal.request, index);
        }
    }

    pub(super) fn on_membership_change(
        &mut self,
        timestamp_ms: u64,
        change: &MembershipChange,
        request: ReplicaRequestId,
    ) {
        match self.check_change(change) {
            Ok(membership) => {
                let index = self.append_entry(timestamp_ms, Payload::Membership(membership));
                self.report_appended(request, index);
            }
            Err(reason) => self.reject(request, reason),
        }
    }

    pub(super) fn on_read_index(&mut self, request: ReplicaRequestId) {
        let commit_index = self.commit_index;
        let reason = match self.leader_state() {
            Ok(leader_state) if commit_index < leader_state.term_start_index => {
                RejectReason::ChangeUncommitted
            }
            Ok(leader_state) => {
                leader_state.confirmation_round += 1;
                leader_state.pending_read_indexes.push(PendingReadIndex {
                    confirmation_round: leader_state.confirmation_round,
                    index: commit_index,
                    request,
                });
                leader_state.next_heartbeat_ms = 0;
                self.on_leader_tick();
                return;
            }
            Err(reason) => reason,
        };
        self.reject(request, reason);
    }

    pub(super) fn on_transfer_leadership(&mut self, request: ReplicaRequestId, to: InstanceName) {
        match self.start_leadership_transfer(to) {
            Ok(()) => self
                .effects
                .outputs
                .push(Output::LeadershipTransferStarted { request }),
            Err(reason) => self.reject(request, reason),
        }
    }

    pub(super) fn reject(&mut self, request: ReplicaRequestId, reason: RejectReason) {
        self.effects
            .outputs
            .push(Output::Rejected { reason, request });
    }

    fn start_leadership_transfer(&mut self, to: InstanceName) -> Result<(), RejectReason> {
        self.check_no_leadership_transfer()?;
        let voters = self.log.membership().voters();
        let is_other_voter =
            to != self.settings.member.name && voters.iter().any(|voter| voter.name == to);
        if !is_other_voter {
            return Err(RejectReason::UnknownMember { name: to });
        }
        let deadline_ms = self.clock.now_ms() + self.settings.election_timeout_ms;
        self.leader_state()?.leadership_transfer = Some(LeadershipTransfer {
            deadline_ms,
            is_timeout_now_sent: false,
            target: to,
        });
        Ok(())
    }

    fn report_appended(&mut self, request: ReplicaRequestId, index: LogIndex) {
        self.effects.outputs.push(Output::Appended {
            index,
            request,
            term: self.hard_state.term,
        });
    }

    fn leader_state(&mut self) -> Result<&mut LeaderState, RejectReason> {
        let leader = self.leader.as_ref().map(|leader| leader.name.clone());
        match &mut self.role {
            RoleState::Leader(leader_state) => Ok(leader_state),
            _ => Err(RejectReason::NotLeader { leader }),
        }
    }

    fn check_no_leadership_transfer(&mut self) -> Result<(), RejectReason> {
        match self.leader_state()?.leadership_transfer {
            Some(_) => Err(RejectReason::LeadershipTransferInProgress),
            None => Ok(()),
        }
    }

    fn check_change(&mut self, change: &MembershipChange) -> Result<Membership, RejectReason> {
        self.check_no_leadership_transfer()?;
        if !self.may_change_membership() {
            return Err(RejectReason::ChangeUncommitted);
        }
        let next = self.log.membership().with_change(change)?;
        if let MembershipChange::Promote(name) = change {
            self.check_learner_caught_up(name)?;
        }
        let active = self.active_voters(next.voters());
        let quorum = next.quorum();
        if active < quorum {
            return Err(RejectReason::QuorumAtRisk { active, quorum });
        }
        Ok(next)
    }

    fn check_learner_caught_up(&mut self, name: &InstanceName) -> Result<(), RejectReason> {
        let commit_index = self.commit_index;
        let leader_state = self.leader_state()?;
        let follower = leader_state
            .followers
            .iter()
            .find(|follower| follower.member.name == *name);
        let match_index = follower.map_or(LogIndex(0), |follower| follower.match_index);
        let missing_entries = commit_index.0.saturating_sub(match_index.0);
        if missing_entries > 0 {
            return Err(RejectReason::LearnerBehind {
                missing_entries,
                name: name.clone(),
            });
        }
        Ok(())
    }
}
