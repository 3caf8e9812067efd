//! Answers subscribers: changes of the directory, newer documents and proofs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::group::Group;
use crate::read_index::ReadIndexBatcher;
use crate::registry::elapsed_ms;
use crate::rpc::{PollAnswer, PollRequest};
use crate::{Directory, EndpointEvent, RecordOutcome};

/// Time after which an instance that polls no more is no subscriber.
const SUBSCRIBER_TTL_MS: u64 = 2_000;

/// Time for which news of endpoints are collected, for each subscriber: a change wakes all of them,
/// and so many changes a second would otherwise mean as many answers to each.
const NEWS_US_PER_SUBSCRIBER: u64 = 250;

/// Longest time for which news are collected; small beside the time that endpoints leave.
const NEWS_MS_MAX: u64 = 250;

/// Longest time that a subscriber may wait for news.
const HOLD_MS_MAX: u64 = 2_000;

/// Time between two looks for endpoints that have fallen silent, and at the members.
const LOOK_INTERVAL_MS: u64 = 250;

/// Heartbeats that an endpoint may miss before it counts as silent, in tenths.
const SILENT_HEARTBEATS_TENTHS: u64 = 35;

/// State that subscribers follow.
pub(crate) struct Publisher {
    directory: Mutex<Directory>,
    directory_changed: watch::Sender<u64>,
    epoch: u64,
    group: Arc<Group>,
    inner_port: u16,
    opened: Instant,
    prover: Arc<ReadIndexBatcher>,
    registries: Mutex<Vec<SocketAddr>>,
    silent_after_ms: u64,
    /// Sorted by name, with the time of each one's last poll.
    subscribers: Mutex<Vec<(String, u64)>>,
}

impl Publisher {
    pub(crate) fn spawn(
        group: &Arc<Group>,
        prover: &Arc<ReadIndexBatcher>,
        inner_port: u16,
        heartbeat_interval_ms: u64,
    ) -> Arc<Self> {
        let publisher = Arc::new(Self {
            directory: Mutex::new(Directory::default()),
            directory_changed: watch::channel(0).0,
            epoch: rand::random(),
            group: Arc::clone(group),
            inner_port,
            opened: Instant::now(),
            prover: Arc::clone(prover),
            registries: Mutex::new(Vec::new()),
            silent_after_ms: heartbeat_interval_ms * SILENT_HEARTBEATS_TENTHS / 10,
            subscribers: Mutex::new(Vec::new()),
        });
        tokio::spawn(Arc::clone(&publisher).look());
        publisher
    }

    /// Takes news of an endpoint.
    pub(crate) fn record(&self, notice: EndpointEvent) -> RecordOutcome {
        let mut directory = lock(&self.directory);
        let recorded = match notice {
            EndpointEvent::Heartbeat(registration) => {
                directory.record_heartbeat(self.now_ms(), registration)
            }
            EndpointEvent::Left { started_at_ms, id } => directory.record_leave(&id, started_at_ms),
        };
        if recorded == RecordOutcome::Changed {
            self.directory_changed.send_replace(directory.cursor());
        }
        recorded
    }

    /// Inner addresses of all registries.
    pub(crate) fn registries(&self) -> Vec<SocketAddr> {
        lock(&self.registries).clone()
    }

    /// Time since this registry was opened.
    pub(crate) fn now_ms(&self) -> u64 {
        elapsed_ms(self.opened)
    }

    pub(crate) async fn poll(&self, request: PollRequest) -> PollAnswer {
        let hold_ms = request.hold_ms.min(HOLD_MS_MAX);
        let deadline = Instant::now() + Duration::from_millis(hold_ms);
        self.note_subscriber(&request.instance);
        let mut directory_changed = self.directory_changed.subscribe();
        let mut document = self.group.document();
        let is_confirmed = request.wants_confirmation && self.prover.confirm_document().await;
        let cursor = if request.directory_epoch == self.epoch {
            request.directory_cursor
        } else {
            0
        };
        let is_new = |version: u64| version > request.document_version;
        let update_batch_delay = update_batch_delay(lock(&self.subscribers).len());
        let news = async {
            let changed = directory_changed.wait_for(|latest| *latest > cursor);
            // The publisher holds the sender, so the wait does not fail.
            let _ = changed.await.map(drop);
            sleep(update_batch_delay).await;
        };
        tokio::select! {
            biased;
            () = news => {}
            _ = document.wait_for(|held| is_new(held.version)) => {}
            () = sleep_until(deadline) => {}
        }
        let held = document.borrow().clone();
        let directory = lock(&self.directory);
        PollAnswer {
            directory_cursor: directory.cursor(),
            directory_epoch: self.epoch,
            document: is_new(held.version).then_some(held),
            is_leader: self.group.leader().0,
            is_confirmed,
            records: postcard::to_stdvec(&directory.changes_since(cursor))
                .expect("records can be encoded"),
            registries: self.registries(),
            subscribers: u32::try_from(lock(&self.subscribers).len()).expect("instances fit"),
        }
    }

    fn note_subscriber(&self, instance: &str) {
        let now_ms = self.now_ms();
        let mut subscribers = lock(&self.subscribers);
        match subscribers.binary_search_by(|known| known.0.as_str().cmp(instance)) {
            Ok(at) => subscribers[at].1 = now_ms,
            Err(at) => subscribers.insert(at, (instance.to_owned(), now_ms)),
        }
    }

    async fn look(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
            let now_ms = self.now_ms();
            {
                let mut directory = lock(&self.directory);
                if directory.expire(now_ms, self.silent_after_ms) {
                    self.directory_changed.send_replace(directory.cursor());
                }
            }
            lock(&self.subscribers).retain(|known| now_ms - known.1 < SUBSCRIBER_TTL_MS);
            let members = self.group.members().await;
            let addresses = members.iter().filter_map(|name| {
                let ip = name.as_str().parse().ok()?;
                Some(SocketAddr::new(ip, self.inner_port))
            });
            *lock(&self.registries) = addresses.collect();
        }
    }
}

/// Time for which news of endpoints are collected before subscribers are told.
#[must_use]
pub fn update_batch_delay(subscribers: usize) -> Duration {
    let subscribers = u64::try_from(subscribers).unwrap_or(u64::MAX);
    let delay = Duration::from_micros(subscribers.saturating_mul(NEWS_US_PER_SUBSCRIBER));
    delay.min(Duration::from_millis(NEWS_MS_MAX))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
