use agreement::{Envelope, GroupId, Member};
use names::{InstanceName, LogIndex};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use crate::host::{Event, Host, Inbox, MembershipChangeRequest};
use crate::writer::Ended;
use crate::{Error, GroupStatus, LeaderStatus};

/// Answer to a committed command.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Answer {
    /// What the state machine answered.
    pub bytes: Vec<u8>,
    /// Position of the command.
    pub index: LogIndex,
}

/// Handle of a running group; the group stops when it is dropped.
#[derive(Debug)]
pub struct GroupHandle {
    pub(crate) applied: watch::Receiver<LogIndex>,
    pub(crate) group: GroupId,
    pub(crate) host: Address<Host>,
    pub(crate) inbox: Inbox,
    pub(crate) member: Member,
    pub(crate) role: watch::Receiver<LeaderStatus>,
    pub(crate) writer: Ended,
}

impl GroupHandle {
    /// Last applied position, as it advances.
    #[must_use]
    pub fn applied_index(&self) -> watch::Receiver<LogIndex> {
        self.applied.clone()
    }

    /// Changes voters or learners, one at a time; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// Says why the change was not run, or that its outcome is unknown.
    pub async fn change_membership(
        &self,
        change: MembershipChangeRequest,
    ) -> Result<LogIndex, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::Change { change, reply }).await?;
        received(answer.await)
    }

    /// Stops the group and waits until its data folder is free.
    ///
    /// Where the folder holds several groups, [`GroupHandle::close_all`] stops them together.
    pub async fn close(self) {
        Self::close_all(vec![self]).await;
    }

    /// Stops the groups of one data folder and waits until the folder is free.
    pub async fn close_all(controls: Vec<Self>) {
        let mut writers = Vec::new();
        for control in controls {
            let Self { host, writer, .. } = control;
            let stopped = host.downgrade().join();
            drop(host);
            stopped.await;
            writers.push(writer);
        }
        for writer in writers {
            writer.wait().await;
        }
    }

    /// Proof that this instance led at some time after the call.
    ///
    /// A read that follows sees everything committed before the call, once the state machine has
    /// applied the position that is returned.
    ///
    /// # Errors
    ///
    /// Says who leads, or why no proof could be had.
    pub async fn read_index(&self) -> Result<LogIndex, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::Confirm { reply }).await?;
        received(answer.await)
    }

    /// Takes a message of another instance.
    pub async fn deliver(&self, envelope: Envelope) {
        drop(self.send(Event::Deliver(envelope)).await);
    }

    /// Waits until the group has stopped, which only a broken invariant makes it do by itself.
    pub async fn stopped(&self) {
        self.host.join().await;
    }

    /// Number of the group.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Hands leadership to another voter.
    ///
    /// # Errors
    ///
    /// Says why no hand-over was started.
    pub async fn transfer_leadership(&self, to: InstanceName) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::HandOver { reply, to }).await?;
        received(answer.await)
    }

    /// This instance with the identity of its data folder.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Replicates a command; returns once it is committed and applied here.
    ///
    /// # Errors
    ///
    /// Says why the command was not run, or that its outcome is unknown.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Answer, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::Propose { command, reply }).await?;
        received(answer.await)
    }

    /// Who leads, as it changes.
    #[must_use]
    pub fn leader_status(&self) -> watch::Receiver<LeaderStatus> {
        self.role.clone()
    }

    /// Role, term, leader, positions, voters and learners.
    ///
    /// # Errors
    ///
    /// Says why this instance takes no part any more.
    pub async fn status(&self) -> Result<GroupStatus, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::ReadStatus { reply }).await?;
        received(answer.await)
    }

    async fn send(&self, event: Event) -> Result<(), Error> {
        let sent = self.inbox.send(event).await;
        sent.map_err(|_| Error::stopped())
    }
}

/// A host that stops drops what it has not answered; the outcome is unknown then.
fn received<T>(answer: Result<Result<T, Error>, oneshot::error::RecvError>) -> Result<T, Error> {
    answer.unwrap_or(Err(Error::Unknown))
}
