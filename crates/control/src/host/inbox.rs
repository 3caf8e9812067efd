use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use agreement::{Envelope, Synced};
use names::{InstanceName, LogIndex};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use xtra::WeakAddress;

use super::{Drain, Host, MembershipChangeRequest, Reply};
use crate::{Answer, GroupStatus};

/// What a host reacts to.
pub(crate) enum Event {
    Change {
        change: MembershipChangeRequest,
        reply: Reply<LogIndex>,
    },
    Confirm {
        reply: Reply<LogIndex>,
    },
    Deliver(Envelope),
    HandOver {
        reply: Reply<()>,
        to: InstanceName,
    },
    JournalFailed {
        cause: String,
    },
    Propose {
        command: Vec<u8>,
        reply: Reply<Answer>,
    },
    ReadStatus {
        reply: Reply<GroupStatus>,
    },
    Tick,
    WriteSynced(Synced),
}

/// Sending side of a host's events, which keeps their order.
///
/// An actor's mailbox does not: it hands out messages of one priority in any order. So events
/// wait in a queue, and the mailbox only tells the host to look there.
#[derive(Clone)]
pub(crate) struct Inbox {
    address: WeakAddress<Host>,
    events: UnboundedSender<Event>,
    is_told: Arc<AtomicBool>,
}

/// Receiving side of a host's events.
pub(crate) struct Events {
    events: UnboundedReceiver<Event>,
    is_told: Arc<AtomicBool>,
}

/// The host has stopped.
#[derive(Debug)]
pub(crate) struct Stopped;

impl Inbox {
    pub(crate) fn new(address: WeakAddress<Host>) -> (Self, Events) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let is_told = Arc::new(AtomicBool::new(false));
        let inbox = Self {
            address,
            events: sender,
            is_told: is_told.clone(),
        };
        let events = Events {
            events: receiver,
            is_told,
        };
        (inbox, events)
    }

    pub(crate) async fn send(&self, event: Event) -> Result<(), Stopped> {
        self.events.send(event).map_err(|_| Stopped)?;
        if self.is_told.swap(true, Ordering::AcqRel) {
            return Ok(());
        }
        let sent = self.address.send(Drain).detach().await;
        sent.map(drop).map_err(|_| Stopped)
    }
}

impl Debug for Inbox {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox").finish_non_exhaustive()
    }
}

impl Events {
    /// Lets senders tell the host again; to be called before the queue is drained.
    pub(crate) fn rearm(&self) {
        self.is_told.swap(false, Ordering::AcqRel);
    }

    pub(crate) fn next(&mut self) -> Option<Event> {
        self.events.try_recv().ok()
    }
}
