//! Sends the voters' messages over the connections between registries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use agreement::Envelope;
use control::Transport;
use slog::{Logger, debug};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::connection::{RpcConnection, call_context};

/// Messages queued for one voter while its connection is slow; further ones are dropped.
const QUEUED_MESSAGES_MAX: usize = 256;

/// Messages sent in one call.
const BATCH_MESSAGES_MAX: usize = 64;

/// Concurrent calls to one voter; more than one, so that a message does not wait for the round trip
/// of the previous one.
const CALLS_MAX: usize = 4;

/// Time limit of one call.
const CALL_TIMEOUT_MS: u64 = 500;

/// Sends messages to voters, whose names are their IP addresses.
pub(crate) struct VoterTransport {
    inner_port: u16,
    log: Logger,
    /// Sorted by address.
    queues: Mutex<Vec<VoterQueue>>,
    runtime: Handle,
}

/// Queue of the messages to one voter.
struct VoterQueue {
    address: SocketAddr,
    messages: mpsc::Sender<Vec<u8>>,
}

impl VoterTransport {
    /// Must be called inside a tokio runtime.
    pub(crate) fn new(inner_port: u16, log: &Logger) -> Self {
        Self {
            inner_port,
            log: log.clone(),
            queues: Mutex::new(Vec::new()),
            runtime: Handle::current(),
        }
    }

    fn queue(&self, address: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by_key(&address, |queue| queue.address) {
            Ok(index) => queues[index].messages.clone(),
            Err(index) => {
                let (messages, queued_messages) = mpsc::channel(QUEUED_MESSAGES_MAX);
                self.runtime.spawn(send_batches(
                    Arc::new(RpcConnection::new(address)),
                    queued_messages,
                    self.log.clone(),
                ));
                let queue = VoterQueue {
                    address,
                    messages: messages.clone(),
                };
                queues.insert(index, queue);
                messages
            }
        }
    }
}

impl Transport for VoterTransport {
    fn send(&self, envelope: Envelope) {
        let Ok(ip) = envelope.to.as_str().parse() else {
            debug!(self.log, "message lost"; "to" => %envelope.to, "error" => "not an address");
            return;
        };
        let message = postcard::to_stdvec(&envelope).expect("messages can be encoded");
        // If the queue is full, the message is dropped; the replica sends it again.
        let _ = self
            .queue(SocketAddr::new(ip, self.inner_port))
            .try_send(message);
    }
}

async fn send_batches(
    connection: Arc<RpcConnection>,
    mut queued_messages: mpsc::Receiver<Vec<u8>>,
    log: Logger,
) {
    let calls = Arc::new(Semaphore::new(CALLS_MAX));
    let mut batch = Vec::new();
    while queued_messages
        .recv_many(&mut batch, BATCH_MESSAGES_MAX)
        .await
        > 0
    {
        let messages = std::mem::take(&mut batch);
        let permit = Arc::clone(&calls).acquire_owned().await;
        let client = match connection.connect().await {
            Ok(client) => client,
            Err(error) => {
                debug!(log, "messages lost"; "to" => %connection.address(), "error" => %error);
                continue;
            }
        };
        let (connection, log) = (Arc::clone(&connection), log.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let context = call_context(CALL_TIMEOUT_MS);
            if let Err(error) = client.deliver_messages(context, messages).await {
                debug!(log, "messages lost"; "to" => %connection.address(), "error" => %error);
                connection.disconnect();
            }
        });
    }
}
