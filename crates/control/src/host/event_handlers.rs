use agreement::{DurableWrite, Input, MembershipChange, ReplicaRequestId};
use names::{InstanceName, LogIndex};
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use super::event_queue::Event;
use super::{ReplicaHost, wall_clock_ms};
use crate::{CommandResponse, Error, GroupStatus};

/// Sender of the result of a call.
pub(crate) type ReplySender<T> = oneshot::Sender<Result<T, Error>>;

/// Requested change of voters or learners, by instance name.
#[derive(Debug, Clone)]
pub enum MembershipChangeRequest {
    /// Adds an instance that recently announced itself as a learner.
    Join {
        /// Name of the instance.
        name: InstanceName,
        /// Whether the leader promotes it to voter once it holds every committed entry.
        promote: bool,
    },
    /// Makes a learner a voter; the learner must hold every committed entry.
    Promote(InstanceName),
    /// Removes a voter or learner.
    Remove(InstanceName),
}

/// Notifies the host that its event queue is not empty.
pub(crate) struct ProcessEvents;

impl Handler<ProcessEvents> for ReplicaHost {
    type Return = ();

    async fn handle(&mut self, _message: ProcessEvents, _context: &mut Context<Self>) {
        self.events.clear_notification();
        while let Some(event) = self.events.next() {
            self.on_event(event);
        }
        self.propose_queued();
    }
}

impl ReplicaHost {
    fn on_event(&mut self, event: Event) {
        match event {
            Event::ChangeMembership { change, reply } => self.on_membership_change(change, reply),
            Event::Deliver(envelope) => self.step(Input::Message(envelope)),
            Event::JournalFailed { cause } => self.on_journal_failed(cause),
            Event::Propose { command, reply } => self.on_propose(command, reply),
            Event::ReadIndex { reply } => self.on_read_index(reply),
            Event::ReadStatus { reply } => drop(reply.send(self.status())),
            Event::Tick => self.on_tick(),
            Event::TransferLeadership { reply, to } => self.on_transfer_leadership(reply, to),
            Event::WriteDurable(durable) => self.on_write_durable(durable),
        }
    }

    fn on_membership_change(
        &mut self,
        change: MembershipChangeRequest,
        reply: ReplySender<LogIndex>,
    ) {
        match self.resolve_membership_change(change) {
            Ok(change) => {
                let request = self.requests.add_membership_change(reply);
                self.request_membership_change(change, request);
            }
            Err(error) => drop(reply.send(Err(error))),
        }
    }

    fn on_read_index(&mut self, reply: ReplySender<LogIndex>) {
        if self.replica.is_none() {
            drop(reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_read_index(reply);
        self.step(Input::ReadIndex { request });
    }

    fn on_transfer_leadership(&mut self, reply: ReplySender<()>, to: InstanceName) {
        if self.replica.is_none() {
            drop(reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_leadership_transfer(reply);
        self.step(Input::TransferLeadership { request, to });
    }

    fn on_journal_failed(&mut self, cause: String) {
        if self.replica.is_some() {
            self.stop_after_failure(cause);
        }
    }

    fn on_propose(&mut self, command: Vec<u8>, reply: ReplySender<CommandResponse>) {
        match self.check_proposal(&command) {
            Ok(()) => self.requests.add_proposal(command, reply),
            Err(error) => drop(reply.send(Err(error))),
        }
    }

    fn check_proposal(&self, command: &[u8]) -> Result<(), Error> {
        if self.replica.is_none() {
            return Err(self.unavailable());
        }
        if command.len() > self.settings.command_bytes_max {
            return Err(Error::TooLarge {
                length_bytes: command.len(),
                length_bytes_max: self.settings.command_bytes_max,
            });
        }
        if self.requests.pending_proposal_count() >= self.settings.pending_proposals_max {
            let reason = "too many proposals are pending".to_owned();
            return Err(Error::Unavailable { reason });
        }
        Ok(())
    }

    fn on_tick(&mut self) {
        self.step(Input::Tick);
        self.rejoin_blank_voter();
    }

    fn on_write_durable(&mut self, durable: DurableWrite) {
        self.pending_write_count -= 1;
        self.step(Input::WriteDurable(durable));
    }

    fn status(&self) -> Result<GroupStatus, Error> {
        match &self.replica {
            Some(replica) => Ok(GroupStatus {
                applied_index: *self.applied_index.borrow(),
                replica: replica.status(),
            }),
            None => Err(self.unavailable()),
        }
    }

    fn request_membership_change(&mut self, change: MembershipChange, request: ReplicaRequestId) {
        let timestamp_ms = wall_clock_ms();
        self.step(Input::ChangeMembership {
            change,
            request,
            timestamp_ms,
        });
    }

    fn resolve_membership_change(
        &self,
        change: MembershipChangeRequest,
    ) -> Result<MembershipChange, Error> {
        let Some(replica) = &self.replica else {
            return Err(self.unavailable());
        };
        let (name, promote) = match change {
            MembershipChangeRequest::Join { name, promote } => (name, promote),
            MembershipChangeRequest::Promote(name) => return Ok(MembershipChange::Promote(name)),
            MembershipChangeRequest::Remove(name) => return Ok(MembershipChange::Remove(name)),
        };
        let non_members = replica.status().non_members;
        let member = non_members.into_iter().find(|member| member.name == name);
        match member {
            Some(member) => Ok(MembershipChange::Join { member, promote }),
            None => Err(Error::Unavailable {
                reason: format!("instance `{name}` has not announced itself recently"),
            }),
        }
    }

    /// Adds a voter with a new, blank data folder as a learner once its old identity is silent.
    fn rejoin_blank_voter(&mut self) {
        let now_ms = self.now_ms();
        if !self.settings.rejoin_blank_voters || now_ms < self.next_rejoin_ms {
            return;
        }
        self.next_rejoin_ms = now_ms + self.settings.election_timeout_ms;
        let Some(replica) = &self.replica else {
            return;
        };
        if replica.role() != agreement::ReplicaRole::Leader {
            return;
        }
        let status = replica.status();
        let silent_after_ms = 2 * self.settings.election_timeout_ms;
        let is_silent = |name: &InstanceName| {
            let mut followers = status.followers.iter();
            followers.any(|known| {
                known.member.name == *name && known.last_response_age_ms >= silent_after_ms
            })
        };
        let blank_voter = status
            .non_members
            .iter()
            .find(|member| is_silent(&member.name));
        let Some(member) = blank_voter.cloned() else {
            return;
        };
        slog::info!(self.settings.log, "voter joins again with a new data folder";
            "instance" => %member.name, "storage" => %member.storage);
        let request = self.requests.add_without_reply();
        let change = MembershipChange::Join {
            member,
            promote: true,
        };
        self.request_membership_change(change, request);
    }
}
