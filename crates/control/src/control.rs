use std::sync::Arc;
use std::time::Duration;

use agreement::{Envelope, Member, StorageId};
use journal::{FolderStorage, Journal, Storage};
use names::{InstanceName, LogIndex};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{self, MissedTickBehavior};
use xtra::{Address, Mailbox};

use crate::host::{Event, Host, Inbox, Links, VoterChange};
use crate::writer::Writer;
use crate::{Error, Role, Settings, StateMachine, Status, Transport, codec};

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
pub struct Control {
    applied: watch::Receiver<LogIndex>,
    host: Address<Host>,
    inbox: Inbox,
    member: Member,
    role: watch::Receiver<Role>,
    writer: JoinHandle<()>,
}

impl Control {
    /// Opens the data folder and starts to take part in the group.
    ///
    /// # Errors
    ///
    /// Refuses a data folder in use, of another instance or damaged, and state that it cannot
    /// decode.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(
        settings: Settings,
        machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let storage = FolderStorage::open(&settings.folder)?;
        Self::open_on(Box::new(storage), settings, machine, transport)
    }

    /// Opens the group on any storage in place of the data folder.
    ///
    /// # Errors
    ///
    /// Refuses files of another instance, damaged files, and state that it cannot decode.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open_on(
        storage: Box<dyn Storage>,
        settings: Settings,
        machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let journal_settings = journal::Settings::new(settings.instance.as_str());
        let opened = Journal::open_on(storage, journal_settings)?;
        if let Some(tail) = &opened.cut_tail {
            slog::warn!(settings.log, "cut an unfinished write off the journal";
                "file" => &tail.file, "offset_bytes" => tail.offset_bytes,
                "length_bytes" => tail.length_bytes);
        }
        let member = Member {
            name: settings.instance.clone(),
            storage: StorageId(opened.journal.identity().storage),
        };
        let group = opened
            .groups
            .iter()
            .find(|group| group.group == settings.group.0);
        let recovered = codec::recover(group)?;
        let tick_interval = Duration::from_millis(settings.tick_interval_ms);
        let writer = Writer::spawn(opened.journal);
        let (address, mailbox) = Mailbox::unbounded();
        let (inbox, events) = Inbox::new(address.downgrade());
        let links = Links {
            inbox: inbox.clone(),
            jobs: writer.jobs,
            transport,
        };
        let (host, applied, role) = Host::new(settings, &member, recovered, machine, events, links);
        tokio::spawn(xtra::run(mailbox, host));
        tokio::spawn(tick(inbox.clone(), tick_interval));
        Ok(Self {
            applied,
            host: address,
            inbox,
            member,
            role,
            writer: writer.task,
        })
    }

    /// Last applied position, as it advances.
    #[must_use]
    pub fn applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.clone()
    }

    /// Changes voters or learners, one at a time; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// Says why the change was not run, or that its outcome is unknown.
    pub async fn change_voters(&self, change: VoterChange) -> Result<LogIndex, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::Change { change, reply }).await?;
        received(answer.await)
    }

    /// Stops the group and waits until its data folder is free.
    pub async fn close(self) {
        let Self { host, writer, .. } = self;
        let stopped = host.downgrade().join();
        drop(host);
        stopped.await;
        drop(writer.await);
    }

    /// Proof that this instance led at some time after the call.
    ///
    /// A read that follows sees everything committed before the call, once the state machine has
    /// applied the position that is returned.
    ///
    /// # Errors
    ///
    /// Says who leads, or why no proof could be had.
    pub async fn confirm(&self) -> Result<LogIndex, Error> {
        let (reply, answer) = oneshot::channel();
        self.send(Event::Confirm { reply }).await?;
        received(answer.await)
    }

    /// Takes a message of another instance.
    pub async fn deliver(&self, envelope: Envelope) {
        drop(self.send(Event::Deliver(envelope)).await);
    }

    /// Hands leadership to another voter.
    ///
    /// # Errors
    ///
    /// Says why no hand-over was started.
    pub async fn hand_over(&self, to: InstanceName) -> Result<(), Error> {
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
    pub fn role(&self) -> watch::Receiver<Role> {
        self.role.clone()
    }

    /// Role, term, leader, positions, voters and learners.
    ///
    /// # Errors
    ///
    /// Says why this instance takes no part any more.
    pub async fn status(&self) -> Result<Status, Error> {
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

/// Wakes the host until it is gone.
async fn tick(host: Inbox, interval: Duration) {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if host.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
