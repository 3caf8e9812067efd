use agreement::{Envelope, GroupId, Member};
use names::{InstanceName, LogIndex};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use crate::host::{Event, EventSender, MembershipChangeRequest, ReplicaHost};
use crate::journal_writer::JournalClosed;
use crate::{Error, GroupStatus, LeaderStatus};

/// Response of the state machine to a committed command.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct CommandResponse {
    /// Encoded response.
    pub bytes: Vec<u8>,
    /// Log index of the command.
    pub index: LogIndex,
}

/// Handle of a running replica of a group; the replica stops when the handle is dropped.
#[derive(Debug)]
pub struct GroupHandle {
    pub(crate) applied_index: watch::Receiver<LogIndex>,
    pub(crate) events: EventSender,
    pub(crate) group: GroupId,
    pub(crate) host: Address<ReplicaHost>,
    pub(crate) journal_closed: JournalClosed,
    pub(crate) leader_status: watch::Receiver<LeaderStatus>,
    pub(crate) member: Member,
}

impl GroupHandle {
    /// Index of the last applied entry, as it advances.
    #[must_use]
    pub fn applied_index(&self) -> watch::Receiver<LogIndex> {
        self.applied_index.clone()
    }

    /// Changes voters or learners, one change at a time; returns its index once it is committed.
    ///
    /// # Errors
    ///
    /// Fails if the change was not run, or if its outcome is unknown.
    pub async fn change_membership(
        &self,
        change: MembershipChangeRequest,
    ) -> Result<LogIndex, Error> {
        let (reply, response) = oneshot::channel();
        self.send(Event::ChangeMembership { change, reply }).await?;
        response_or_unknown(response.await)
    }

    /// Stops the group and waits until its data folder is closed.
    ///
    /// Use [`GroupHandle::close_all`] if the folder holds several groups.
    pub async fn close(self) {
        Self::close_all(vec![self]).await;
    }

    /// Stops the groups of one data folder and waits until the folder is closed.
    pub async fn close_all(handles: Vec<Self>) {
        let mut journals = Vec::new();
        for handle in handles {
            let Self {
                host,
                journal_closed,
                ..
            } = handle;
            let stopped = host.downgrade().join();
            drop(host);
            stopped.await;
            journals.push(journal_closed);
        }
        for journal_closed in journals {
            journal_closed.wait().await;
        }
    }

    /// Passes a message received from another instance to the replica.
    pub async fn deliver(&self, envelope: Envelope) {
        drop(self.send(Event::Deliver(envelope)).await);
    }

    /// Number of the group.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Term and leader, as they change.
    #[must_use]
    pub fn leader_status(&self) -> watch::Receiver<LeaderStatus> {
        self.leader_status.clone()
    }

    /// This instance with the storage identity of its data folder.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Replicates a command; returns once it is committed and applied on this instance.
    ///
    /// # Errors
    ///
    /// Fails if the command was not run, or if its outcome is unknown.
    pub async fn propose(&self, command: Vec<u8>) -> Result<CommandResponse, Error> {
        let (reply, response) = oneshot::channel();
        self.send(Event::Propose { command, reply }).await?;
        response_or_unknown(response.await)
    }

    /// Confirms that this instance led at some time after the call, and returns the read index.
    ///
    /// A read after the state machine has applied that index sees everything committed before the
    /// call.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead, or if leadership could not be confirmed.
    pub async fn read_index(&self) -> Result<LogIndex, Error> {
        let (reply, response) = oneshot::channel();
        self.send(Event::ReadIndex { reply }).await?;
        response_or_unknown(response.await)
    }

    /// Role, term, leader, indexes, voters and learners.
    ///
    /// # Errors
    ///
    /// Fails if the replica has stopped.
    pub async fn status(&self) -> Result<GroupStatus, Error> {
        let (reply, response) = oneshot::channel();
        self.send(Event::ReadStatus { reply }).await?;
        response_or_unknown(response.await)
    }

    /// Waits until the replica stops; while the handle is open, only a violated invariant stops it.
    pub async fn stopped(&self) {
        self.host.join().await;
    }

    /// Starts a leadership transfer to another voter, without waiting for its end.
    ///
    /// # Errors
    ///
    /// Fails if the transfer was not started.
    pub async fn transfer_leadership(&self, to: InstanceName) -> Result<(), Error> {
        let (reply, response) = oneshot::channel();
        self.send(Event::TransferLeadership { reply, to }).await?;
        response_or_unknown(response.await)
    }

    async fn send(&self, event: Event) -> Result<(), Error> {
        let sent = self.events.send(event).await;
        sent.map_err(|_| Error::stopped())
    }
}

/// A host that stops drops its open requests; their outcome is unknown.
fn response_or_unknown<T>(
    response: Result<Result<T, Error>, oneshot::error::RecvError>,
) -> Result<T, Error> {
    response.unwrap_or(Err(Error::Unknown))
}
