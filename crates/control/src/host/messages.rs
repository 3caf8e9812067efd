use agreement::{Envelope, Input, MembershipChange, Synced};
use names::{InstanceName, LogIndex};
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use super::{Host, wall_clock_ms};
use crate::{Answer, Error, Status};

pub(crate) type Reply<T> = oneshot::Sender<Result<T, Error>>;

/// Change of voters or learners that an operator asks for.
#[derive(Debug, Clone)]
pub enum VoterChange {
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

pub(crate) struct Change {
    pub(crate) change: VoterChange,
    pub(crate) reply: Reply<LogIndex>,
}

pub(crate) struct Confirm {
    pub(crate) reply: Reply<LogIndex>,
}

pub(crate) struct Deliver(pub(crate) Envelope);

pub(crate) struct HandOver {
    pub(crate) reply: Reply<()>,
    pub(crate) to: InstanceName,
}

pub(crate) struct JournalFailed {
    pub(crate) cause: String,
}

pub(crate) struct Propose {
    pub(crate) command: Vec<u8>,
    pub(crate) reply: Reply<Answer>,
}

pub(crate) struct ReadStatus {
    pub(crate) reply: Reply<Status>,
}

pub(crate) struct Tick;

pub(crate) struct WritesSynced(pub(crate) Synced);

impl Handler<Change> for Host {
    type Return = ();

    async fn handle(&mut self, message: Change, _context: &mut Context<Self>) {
        match self.membership_change(message.change) {
            Ok(change) => {
                let request = self.requests.add_change(message.reply);
                let at_ms = wall_clock_ms();
                self.step(Input::Change {
                    at_ms,
                    change,
                    request,
                });
            }
            Err(error) => drop(message.reply.send(Err(error))),
        }
    }
}

impl Handler<Confirm> for Host {
    type Return = ();

    async fn handle(&mut self, message: Confirm, _context: &mut Context<Self>) {
        if self.replica.is_none() {
            drop(message.reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_confirm(message.reply);
        self.step(Input::Confirm { request });
    }
}

impl Handler<Deliver> for Host {
    type Return = ();

    async fn handle(&mut self, message: Deliver, _context: &mut Context<Self>) {
        self.step(Input::Message(message.0));
    }
}

impl Handler<HandOver> for Host {
    type Return = ();

    async fn handle(&mut self, message: HandOver, _context: &mut Context<Self>) {
        if self.replica.is_none() {
            drop(message.reply.send(Err(self.unavailable())));
            return;
        }
        let request = self.requests.add_hand_over(message.reply);
        let to = message.to;
        self.step(Input::HandOver { request, to });
    }
}

impl Handler<JournalFailed> for Host {
    type Return = ();

    async fn handle(&mut self, message: JournalFailed, _context: &mut Context<Self>) {
        if self.replica.is_some() {
            self.fail(message.cause);
        }
    }
}

impl Handler<Propose> for Host {
    type Return = ();

    async fn handle(&mut self, message: Propose, _context: &mut Context<Self>) {
        if self.replica.is_none() {
            drop(message.reply.send(Err(self.unavailable())));
            return;
        }
        if self.requests.proposals() >= self.settings.proposals_waiting_max {
            let reason = "too many proposals wait".to_owned();
            drop(message.reply.send(Err(Error::Unavailable { reason })));
            return;
        }
        self.requests.add_proposal(message.command, message.reply);
        self.append_waiting();
    }
}

impl Handler<ReadStatus> for Host {
    type Return = ();

    async fn handle(&mut self, message: ReadStatus, _context: &mut Context<Self>) {
        let status = match &self.replica {
            Some(replica) => Ok(Status {
                applied: *self.applied.borrow(),
                replica: replica.status(),
            }),
            None => Err(self.unavailable()),
        };
        drop(message.reply.send(status));
    }
}

impl Handler<Tick> for Host {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _context: &mut Context<Self>) {
        self.step(Input::Tick);
        self.rejoin_blank_voter();
    }
}

impl Handler<WritesSynced> for Host {
    type Return = ();

    async fn handle(&mut self, message: WritesSynced, _context: &mut Context<Self>) {
        self.writes_in_progress -= 1;
        self.step(Input::Synced(message.0));
        self.append_waiting();
    }
}

impl Host {
    fn membership_change(&self, change: VoterChange) -> Result<MembershipChange, Error> {
        let Some(replica) = &self.replica else {
            return Err(self.unavailable());
        };
        let (name, promote) = match change {
            VoterChange::Join { name, promote } => (name, promote),
            VoterChange::Promote(name) => return Ok(MembershipChange::Promote(name)),
            VoterChange::Remove(name) => return Ok(MembershipChange::Remove(name)),
        };
        let introduced = replica.status().introduced;
        let member = introduced.into_iter().find(|member| member.name == name);
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
                .any(|known| known.member.name == *name && known.last_active_age_ms >= silent_ms)
        };
        let blank = status
            .introduced
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
        let at_ms = wall_clock_ms();
        self.step(Input::Change {
            at_ms,
            change,
            request,
        });
    }
}
