//! Forwarder in front of one registry: counts what the registry sends, and holds it back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Answer bytes of one connection from which it carries a document.
const LARGE_ANSWER_BYTES: u64 = 48 * 1024;

const HOLD_INTERVAL_MS: u64 = 10;

/// What the forwarders of a test do to the registries' answers.
#[derive(Default)]
pub struct Forwarding {
    /// Answer bytes of all registries.
    pub answer_bytes: AtomicU64,
    /// Whether the first registry that sends a large answer closes its connections.
    pub closes_first: AtomicBool,
    /// Whether connections that carry a large answer are held back.
    pub holds_large: AtomicBool,
    /// Whether the first registry that sends a large answer falls silent.
    pub silences_first: AtomicBool,
}

struct Forwarder {
    forwarding: Arc<Forwarding>,
    is_closed: AtomicBool,
    is_silent: AtomicBool,
    target: SocketAddr,
}

/// Forwards connections to `address` to the registry that listens on `target`.
pub async fn spawn_forwarder(
    address: SocketAddr,
    target: SocketAddr,
    forwarding: &Arc<Forwarding>,
) {
    let listener = TcpListener::bind(address).await.unwrap();
    let forwarder = Arc::new(Forwarder {
        forwarding: Arc::clone(forwarding),
        is_closed: AtomicBool::new(false),
        is_silent: AtomicBool::new(false),
        target,
    });
    tokio::spawn(async move {
        loop {
            let (caller, _) = listener.accept().await.unwrap();
            if forwarder.is_closed.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(registry) = TcpStream::connect(forwarder.target).await else {
                continue;
            };
            caller.set_nodelay(true).unwrap();
            registry.set_nodelay(true).unwrap();
            let (mut from_caller, to_caller) = caller.into_split();
            let (from_registry, mut to_registry) = registry.into_split();
            tokio::spawn(async move { copy(&mut from_caller, &mut to_registry).await });
            tokio::spawn(Arc::clone(&forwarder).forward_answers(from_registry, to_caller));
        }
    });
}

impl Forwarder {
    async fn forward_answers(
        self: Arc<Self>,
        mut registry: OwnedReadHalf,
        mut caller: OwnedWriteHalf,
    ) {
        let forwarding = &self.forwarding;
        let mut buffer = vec![0; 16 * 1024];
        let mut large_bytes = 0;
        while let Ok(length @ 1..) = registry.read(&mut buffer).await {
            if length < buffer.len() / 4 {
                large_bytes = 0;
            }
            large_bytes += length as u64;
            if large_bytes > LARGE_ANSWER_BYTES {
                if forwarding.silences_first.swap(false, Ordering::Relaxed) {
                    self.is_silent.store(true, Ordering::Relaxed);
                }
                if forwarding.closes_first.swap(false, Ordering::Relaxed) {
                    self.is_closed.store(true, Ordering::Relaxed);
                }
            }
            let is_held = || {
                let is_large = large_bytes > LARGE_ANSWER_BYTES;
                (is_large && forwarding.holds_large.load(Ordering::Relaxed))
                    || self.is_silent.load(Ordering::Relaxed)
            };
            while is_held() {
                sleep(Duration::from_millis(HOLD_INTERVAL_MS)).await;
            }
            if self.is_closed.load(Ordering::Relaxed) {
                return;
            }
            forwarding
                .answer_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
            if caller.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
