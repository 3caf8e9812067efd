use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use agreement::{DurableWrite, Envelope};
use names::{InstanceName, LogIndex};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use xtra::WeakAddress;

use super::{MembershipChangeRequest, ProcessEvents, ReplicaHost, ReplySender};
use crate::{CommandResponse, GroupStatus};

/// Event that a host handles: a call, a message, a tick or the result of a write.
pub(crate) enum Event {
    ChangeMembership {
        change: MembershipChangeRequest,
        reply: ReplySender<LogIndex>,
    },
    Deliver(Envelope),
    JournalFailed {
        cause: String,
    },
    Propose {
        command: Vec<u8>,
        reply: ReplySender<CommandResponse>,
    },
    ReadIndex {
        reply: ReplySender<LogIndex>,
    },
    ReadStatus {
        reply: ReplySender<GroupStatus>,
    },
    Tick,
    TransferLeadership {
        reply: ReplySender<()>,
        to: InstanceName,
    },
    WriteDurable(DurableWrite),
}

/// Sending side of a host's event queue, which keeps the order of events.
///
/// The mailbox of an actor delivers messages of one priority in any order. So the events wait in a
/// queue, and a message in the mailbox only notifies the host of them.
#[derive(Clone)]
pub(crate) struct EventSender {
    address: WeakAddress<ReplicaHost>,
    events: UnboundedSender<Event>,
    is_notified: Arc<AtomicBool>,
}

/// Receiving side of a host's event queue.
pub(crate) struct EventReceiver {
    events: UnboundedReceiver<Event>,
    is_notified: Arc<AtomicBool>,
}

/// Error of a send to a host that has stopped.
#[derive(Debug)]
pub(crate) struct HostStopped;

impl EventSender {
    pub(crate) fn new(address: WeakAddress<ReplicaHost>) -> (Self, EventReceiver) {
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let is_notified = Arc::new(AtomicBool::new(false));
        let sender = Self {
            address,
            events: event_sender,
            is_notified: is_notified.clone(),
        };
        let receiver = EventReceiver {
            events: event_receiver,
            is_notified,
        };
        (sender, receiver)
    }

    pub(crate) async fn send(&self, event: Event) -> Result<(), HostStopped> {
        self.events.send(event).map_err(|_| HostStopped)?;
        if self.is_notified.swap(true, Ordering::AcqRel) {
            return Ok(());
        }
        let sent = self.address.send(ProcessEvents).detach().await;
        sent.map(drop).map_err(|_| HostStopped)
    }
}

impl Debug for EventSender {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventSender").finish_non_exhaustive()
    }
}

impl EventReceiver {
    /// Allows the next notification; to be called before the queue is read.
    pub(crate) fn clear_notification(&self) {
        self.is_notified.swap(false, Ordering::AcqRel);
    }

    pub(crate) fn next(&mut self) -> Option<Event> {
        self.events.try_recv().ok()
    }
}
