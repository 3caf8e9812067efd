use std::collections::VecDeque;

use agreement::{Proposal, RejectReason, ReplicaRequestId, Term};
use names::{InstanceName, LogIndex};

use super::ReplySender;
use crate::{CommandResponse, Error};

/// Reply sender of a pending request, by kind of request.
enum PendingReply {
    LeadershipTransfer(ReplySender<()>),
    MembershipChange(ReplySender<LogIndex>),
    Proposal(ReplySender<CommandResponse>),
    ReadIndex(ReplySender<LogIndex>),
}

/// Request that the replica has neither appended nor answered yet.
struct OpenRequest {
    reply: PendingReply,
    request: ReplicaRequestId,
}

/// Request whose log entry is not applied yet.
struct AppendedRequest {
    index: LogIndex,
    reply: PendingReply,
    term: Term,
}

/// Requests without a response yet.
#[derive(Default)]
pub(super) struct PendingRequests {
    /// Sorted by log index.
    appended: VecDeque<AppendedRequest>,
    last_id: u64,
    /// Sorted by identifier.
    open: Vec<OpenRequest>,
    /// Proposals not passed to the replica yet.
    queued_proposals: Vec<Proposal>,
}

impl PendingReply {
    fn fail(self, error: Error) {
        match self {
            Self::MembershipChange(reply) | Self::ReadIndex(reply) => drop(reply.send(Err(error))),
            Self::LeadershipTransfer(reply) => drop(reply.send(Err(error))),
            Self::Proposal(reply) => drop(reply.send(Err(error))),
        }
    }

    fn succeed(self, index: LogIndex, bytes: Vec<u8>) {
        match self {
            Self::MembershipChange(reply) | Self::ReadIndex(reply) => drop(reply.send(Ok(index))),
            Self::LeadershipTransfer(reply) => drop(reply.send(Ok(()))),
            Self::Proposal(reply) => drop(reply.send(Ok(CommandResponse { bytes, index }))),
        }
    }
}

impl PendingRequests {
    pub(super) fn add_membership_change(
        &mut self,
        reply: ReplySender<LogIndex>,
    ) -> ReplicaRequestId {
        self.add(PendingReply::MembershipChange(reply))
    }

    pub(super) fn add_read_index(&mut self, reply: ReplySender<LogIndex>) -> ReplicaRequestId {
        self.add(PendingReply::ReadIndex(reply))
    }

    pub(super) fn add_leadership_transfer(&mut self, reply: ReplySender<()>) -> ReplicaRequestId {
        self.add(PendingReply::LeadershipTransfer(reply))
    }

    pub(super) fn add_proposal(&mut self, command: Vec<u8>, reply: ReplySender<CommandResponse>) {
        let request = self.add(PendingReply::Proposal(reply));
        self.queued_proposals.push(Proposal { command, request });
    }

    /// Identifier of a request whose result is ignored.
    pub(super) fn add_without_reply(&mut self) -> ReplicaRequestId {
        self.last_id += 1;
        ReplicaRequestId(self.last_id)
    }

    pub(super) fn has_queued_proposals(&self) -> bool {
        !self.queued_proposals.is_empty()
    }

    pub(super) fn pending_proposal_count(&self) -> usize {
        self.queued_proposals.len() + self.appended.len()
    }

    pub(super) fn drain_queued_proposals(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.queued_proposals)
    }

    pub(super) fn on_appended(&mut self, request: ReplicaRequestId, index: LogIndex, term: Term) {
        if let Some(reply) = self.remove_open(request) {
            self.appended
                .push_back(AppendedRequest { index, reply, term });
        }
    }

    pub(super) fn on_read_index_confirmed(&mut self, request: ReplicaRequestId, index: LogIndex) {
        if let Some(reply) = self.remove_open(request) {
            reply.succeed(index, Vec::new());
        }
    }

    pub(super) fn on_leadership_transfer_started(&mut self, request: ReplicaRequestId) {
        if let Some(reply) = self.remove_open(request) {
            reply.succeed(LogIndex(0), Vec::new());
        }
    }

    pub(super) fn on_rejected(&mut self, request: ReplicaRequestId, reason: RejectReason) {
        let error = match reason {
            RejectReason::NotLeader { leader } => Error::NotLeader { leader },
            other => Error::Rejected(other),
        };
        if let Some(reply) = self.remove_open(request) {
            reply.fail(error);
        }
    }

    pub(super) fn on_applied(&mut self, index: LogIndex, term: Term, response: Vec<u8>) {
        let Some(appended) = self
            .appended
            .pop_front_if(|appended| appended.index <= index)
        else {
            return;
        };
        assert_eq!(
            (appended.index, appended.term),
            (index, term),
            "a leader's entry is committed at the index and term at which it was appended"
        );
        appended.reply.succeed(index, response);
    }

    /// Rejects queued proposals; the outcome of appended requests becomes unknown.
    pub(super) fn on_not_leader(&mut self, leader: Option<&InstanceName>) {
        self.fail_appended();
        for proposal in std::mem::take(&mut self.queued_proposals) {
            let leader = leader.cloned();
            self.on_rejected(proposal.request, RejectReason::NotLeader { leader });
        }
    }

    pub(super) fn on_stopped(&mut self) {
        self.fail_appended();
        self.queued_proposals.clear();
        for open in self.open.drain(..) {
            open.reply.fail(Error::stopped());
        }
    }

    fn fail_appended(&mut self) {
        for appended in self.appended.drain(..) {
            appended.reply.fail(Error::Unknown);
        }
    }

    fn add(&mut self, reply: PendingReply) -> ReplicaRequestId {
        let request = self.add_without_reply();
        self.open.push(OpenRequest { reply, request });
        request
    }

    fn remove_open(&mut self, request: ReplicaRequestId) -> Option<PendingReply> {
        let position = self
            .open
            .binary_search_by_key(&request, |open| open.request);
        position
            .ok()
            .map(|position| self.open.remove(position).reply)
    }
}
