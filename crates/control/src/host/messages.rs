use agreement::{Input, MembershipChange, RequestNumber, Synced};
use names::{InstanceName, LogIndex};
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use super::inbox::Event;
use super::{Host, wall_clock_ms};
use crate::{Answer, Error, GroupStatus};

pub(crate) type Reply<T> = oneshot::Sender<Result<T, Error>>;

/// Change of voters or learners that an operator asks for.
#[derive(Debug, Clone)]
pub enum MembershipChangeRequest {
    /// Lets an instance that introduced itself join as a learner.
    Join {
        /// The instance.
        name: InstanceName,
        /// Whether it becomes a voter as soon as it holds everything committed.
        promote: bool,
    },
    /// Makes a learner that holds everything committed a voter.
    Promote(InstanceName),
    /// Removes a voter or learner.
    Remove(InstanceName),
}

/// Tells the host that events wait.
pub(crate) struct Drain;

impl Handler<Drain> for Host {
    type Return = ();

    async fn handle(&mut self, _message: Drain, _context: &mut Context<Self>) {
        self.events.rearm();
        while let Some(event) = self.events.next() {
            self.on_event(event);
        }
        self.append_waiting();
    }
}

impl Host {
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Change { change, reply } => self.on_change(change, reply),
            Event::Confirm { reply } => self.on_confirm(reply),
            Event::Deliver(envelope) => self.step(Input::Message(envelope)),
            Event::HandOver { reply, to } => self.on_hand_over(reply, to),
            Event::JournalFailed { cause } => self.on_journal_failed(cause),
            Event::Propose { command, reply } => self.on_propose(command, reply),
            Event::ReadStatus { reply } => drop(reply.send(self.status())),
            Event::Tick => self.on_tick(),
            Event::WriteSynced(synced) => self.on_write_synced(synced),
        }
    }

    fn on_change(&mut self, change: MembershipChangeRequest, reply: Reply<LogIndex>) {
        match self.membership_change(change) {
            Ok(change) => {
                let request = self.requests.add_change(reply);
                self.change_membership(change, request);
            }
            Err(error) => drop(reply.send(Err(error))),
        }
    }

    fn on_confirm(&mut self, reply: Reply<LogIndex>) {
        if self.replica.is_none() {
            drop(reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_confirm(reply);
        self.step(Input::Confirm { request });
    }

    fn on_hand_over(&mut self, reply: Reply<()>, to: InstanceName) {
        if self.replica.is_none() {
            drop(reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_hand_over(reply);
        self.step(Input::HandOver { request, to });
    }

    fn on_journal_failed(&mut self, cause: String) {
        if self.replica.is_some() {
            self.fail(cause);
        }
    }

    fn on_propose(&mut self, command: Vec<u8>, reply: Reply<Answer>) {
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
        if self.requests.proposals() >= self.settings.proposals_waiting_max {
            let reason = "too many proposals wait".to_owned();
            return Err(Error::Unavailable { reason });
        }
        Ok(())
    }

    fn on_tick(&mut self) {
        self.step(Input::Tick);
        self.rejoin_blank_voter();
    }

    fn on_write_synced(&mut self, synced: Synced) {
        self.writes_in_progress -= 1;
        self.step(Input::Synced(synced));
    }

    fn status(&self) -> Result<GroupStatus, Error> {
        match &self.replica {
            Some(replica) => Ok(GroupStatus {
                applied: *self.applied.borrow(),
                replica: replica.status(),
            }),
            None => Err(self.unavailable()),
        }
    }

    fn change_membership(&mut self, change: MembershipChange, request: RequestNumber) {
        let at_ms = wall_clock_ms();
        self.step(Input::Change {
            at_ms,
            change,
            request,
        });
    }

    fn membership_change(
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
                reason: format!("instance `{name}` has not introduced itself lately"),
            }),
        }
    }

    /// Lets a voter with a new data folder join again once its old identity is silent.
    fn rejoin_blank_voter(&mut self) {
        let now_ms = self.now_ms();
        if !self.settings.rejoin_blank_voters || now_ms < self.next_rejoin_ms {
            return;
        }
        self.next_rejoin_ms = now_ms + self.settings.election_timeout_ms;
        let Some(replica) = &self.replica else {
            return;
        };
        if replica.role() != agreement::RoleName::Leader {
            return;
        }
        let status = replica.status();
        let silent_ms = 2 * self.settings.election_timeout_ms;
        let is_silent = |name: &InstanceName| {
            let mut followers = status.followers.iter();
            followers
                .any(|known| known.member.name == *name && known.last_response_age_ms >= silent_ms)
        };
        let blank = status
            .non_members
            .iter()
            .find(|member| is_silent(&member.name));
        let Some(member) = blank.cloned() else {
            return;
        };
        slog::info!(self.settings.log, "voter joins again with a new data folder";
            "instance" => %member.name, "storage" => %member.storage);
        let request = self.requests.add_unobserved();
        let change = MembershipChange::Join {
            member,
            promote: true,
        };
        self.change_membership(change, request);
    }
}
