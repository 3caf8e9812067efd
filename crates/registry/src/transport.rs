//! Carries the voters' messages over the connections between registries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use agreement::Envelope;
use control::Transport;
use slog::{Logger, debug};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::link::{Link, within};

/// Messages kept per voter while its connection is slow; later ones are dropped.
const QUEUED_MESSAGES_MAX: usize = 256;

/// Messages sent in one call.
const BATCH_MESSAGES_MAX: usize = 64;

/// Calls to one voter that wait for their answers at once; more than one, so that a message does
/// not wait for the round trip of the one before it.
const CALLS_MAX: usize = 4;

/// Longest time for one call.
const CALL_TIMEOUT_MS: u64 = 500;

/// Sends messages to voters, which are named by their IP addresses.
pub(crate) struct VoterTransport {
    inner_port: u16,
    log: Logger,
    queues: Mutex<Vec<Queue>>,
    runtime: Handle,
}

/// Messages on their way to one voter.
struct Queue {
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
            Ok(at) => queues[at].messages.clone(),
            Err(at) => {
                let (messages, waiting) = mpsc::channel(QUEUED_MESSAGES_MAX);
                self.runtime.spawn(carry(
                    Arc::new(Link::new(address)),
                    waiting,
                    self.log.clone(),
                ));
                let queue = Queue {
                    address,
                    messages: messages.clone(),
                };
                queues.insert(at, queue);
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
        // A full queue loses the message; the agreement sends again.
        let _ = self
            .queue(SocketAddr::new(ip, self.inner_port))
            .try_send(message);
    }
}

async fn carry(link: Arc<Link>, mut waiting: mpsc::Receiver<Vec<u8>>, log: Logger) {
    let calls = Arc::new(Semaphore::new(CALLS_MAX));
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, BATCH_MESSAGES_MAX).await > 0 {
        let messages = std::mem::take(&mut batch);
        let permit = Arc::clone(&calls).acquire_owned().await;
        let client = match link.client().await {
            Ok(client) => client,
            Err(error) => {
                debug!(log, "messages lost"; "to" => %link.address(), "error" => %error);
                continue;
            }
        };
        let (link, log) = (Arc::clone(&link), log.clone());
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = client
                .deliver_messages(within(CALL_TIMEOUT_MS), messages)
                .await
            {
                debug!(log, "messages lost"; "to" => %link.address(), "error" => %error);
                link.failed();
            }
        });
    }
}
