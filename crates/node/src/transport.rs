//! Sends messages between voters over the connections between instances.

use std::sync::{Arc, Mutex, PoisonError};

use agreement::Envelope;
use control::Transport;
use names::InstanceName;
use slog::{Logger, debug};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::peers::{Peers, context_with_timeout};
use crate::state::encode;

/// Longest queue of messages to one voter; further messages are dropped.
const QUEUED_MESSAGES_MAX: usize = 1_024;

/// Timeout of sending one message.
const MESSAGE_TIMEOUT_MS: u64 = 1_000;

/// Transport of the voters; keeps the order of messages to each voter.
pub(crate) struct PeerTransport {
    instance: InstanceName,
    log: Logger,
    peers: Arc<Peers>,
    queues: Mutex<Vec<Queue>>,
    runtime: Handle,
}

/// Queue of messages to one voter.
struct Queue {
    messages: mpsc::Sender<Vec<u8>>,
    to: InstanceName,
}

impl PeerTransport {
    /// Creates a transport without connections; must be called inside a tokio runtime.
    pub(crate) fn new(instance: &InstanceName, peers: &Arc<Peers>, log: &Logger) -> Self {
        Self {
            instance: instance.clone(),
            log: log.clone(),
            peers: Arc::clone(peers),
            queues: Mutex::new(Vec::new()),
            runtime: Handle::current(),
        }
    }

    fn queue(&self, to: &InstanceName) -> mpsc::Sender<Vec<u8>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|queue| queue.to.cmp(to)) {
            Ok(position) => queues[position].messages.clone(),
            Err(position) => {
                let messages = self.spawn_sender(to);
                let queue = Queue {
                    messages: messages.clone(),
                    to: to.clone(),
                };
                queues.insert(position, queue);
                messages
            }
        }
    }

    fn spawn_sender(&self, to: &InstanceName) -> mpsc::Sender<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(QUEUED_MESSAGES_MAX);
        let message_sender = MessageSender {
            from: self.instance.clone(),
            log: self.log.clone(),
            peers: Arc::clone(&self.peers),
            to: to.clone(),
        };
        self.runtime.spawn(message_sender.run(receiver));
        sender
    }
}

impl Transport for PeerTransport {
    fn send(&self, envelope: Envelope) {
        // If the queue is full, the message is dropped; the agreement protocol sends it again.
        let _ = self.queue(&envelope.to).try_send(encode(&envelope));
    }
}

/// Task that sends the queued messages to one voter.
struct MessageSender {
    from: InstanceName,
    log: Logger,
    peers: Arc<Peers>,
    to: InstanceName,
}

impl MessageSender {
    async fn run(self, mut messages: mpsc::Receiver<Vec<u8>>) {
        while let Some(message) = messages.recv().await {
            self.send(message).await;
        }
    }

    async fn send(&self, message: Vec<u8>) {
        let client = match self.peers.client(&self.to).await {
            Ok(client) => client,
            Err(error) => {
                debug!(self.log, "message lost"; "to" => %self.to, "error" => %error);
                return;
            }
        };
        let sent = client.deliver_agreement(
            context_with_timeout(MESSAGE_TIMEOUT_MS),
            self.from.clone(),
            message,
        );
        if let Err(error) = sent.await {
            debug!(self.log, "message lost"; "to" => %self.to, "error" => %error);
            self.peers.disconnect(&self.to);
        }
    }
}
