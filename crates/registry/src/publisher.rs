//! Answers the polls of subscribers with directory changes, versions of documents and
//! confirmations, and lets them read the changes of the catalog.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::group::Group;
use crate::read_index::ReadIndexBatcher;
use crate::registry::elapsed_ms;
use crate::rpc::{ChangeChunk, ChangePosition, PollAnswer, PollRequest};
use crate::version_register::VersionRegister;
use crate::{
    Accusation, CatalogHistory, Directory, EndpointEvent, PartChange, PartQuarantine,
    PublishedPart, RecordOutcome, StreamOrigin,
};

/// Time after its last poll in which an instance counts as a subscriber.
const SUBSCRIBER_TTL_MS: u64 = 2_000;

/// Time for which directory changes are batched, per subscriber. A change wakes all subscribers, so
/// without batches each of them would get an answer for each of many changes a second.
const UPDATE_BATCH_US_PER_SUBSCRIBER: u64 = 250;

/// Longest time for which directory changes are batched; short beside the time that an endpoint
/// takes to leave.
const UPDATE_BATCH_MS_MAX: u64 = 250;

/// Longest time for which a poll without updates is held.
const POLL_HOLD_MS_MAX: u64 = 2_000;

/// Time between two checks of the directory, the subscribers and the members of the group.
const MAINTENANCE_INTERVAL_MS: u64 = 250;

/// Time without a heartbeat after which an endpoint is silent, in tenths of the heartbeat interval.
const SILENT_AFTER_HEARTBEAT_TENTHS: u64 = 35;

/// Versions of the accused parts of prompts.
#[derive(Debug, Clone, Copy, Default)]
struct PartVersions {
    latest: u64,
    /// Latest version in which a quarantine began or ended.
    urgent: u64,
}

/// State of a registry that subscribers poll: the directory, the document, the accused parts of
/// prompts and the members.
pub(crate) struct Publisher {
    catalog_history: Mutex<CatalogHistory>,
    directory: Mutex<Directory>,
    directory_changed: watch::Sender<u64>,
    epoch: u64,
    group: Arc<Group>,
    inner_port: u16,
    opened_at: Instant,
    part_quarantine: Mutex<PartQuarantine>,
    parts_changed: watch::Sender<PartVersions>,
    read_index: Arc<ReadIndexBatcher>,
    registries: Mutex<Vec<SocketAddr>>,
    silent_after_ms: u64,
    /// Names with the time of the last poll in ms, sorted by name.
    subscribers: Mutex<Vec<(String, u64)>>,
    version_register: Arc<VersionRegister>,
}

impl Publisher {
    pub(crate) fn spawn(
        group: &Arc<Group>,
        read_index: &Arc<ReadIndexBatcher>,
        inner_port: u16,
        heartbeat_interval_ms: u64,
        catalog_history: CatalogHistory,
        version_register: &Arc<VersionRegister>,
    ) -> Arc<Self> {
        let publisher = Arc::new(Self {
            catalog_history: Mutex::new(catalog_history),
            directory: Mutex::new(Directory::default()),
            directory_changed: watch::channel(0).0,
            epoch: rand::random(),
            group: Arc::clone(group),
            inner_port,
            opened_at: Instant::now(),
            part_quarantine: Mutex::default(),
            parts_changed: watch::channel(PartVersions::default()).0,
            read_index: Arc::clone(read_index),
            registries: Mutex::new(Vec::new()),
            silent_after_ms: heartbeat_interval_ms * SILENT_AFTER_HEARTBEAT_TENTHS / 10,
            subscribers: Mutex::new(Vec::new()),
            version_register: Arc::clone(version_register),
        });
        tokio::spawn(Arc::clone(&publisher).run_maintenance());
        tokio::spawn(Arc::clone(&publisher).follow_documents());
        publisher
    }

    /// Records an event of an endpoint, and wakes the subscribers if it changes the directory.
    pub(crate) fn record_event(&self, event: EndpointEvent) -> RecordOutcome {
        let mut directory = lock(&self.directory);
        let outcome = match event {
            EndpointEvent::Heartbeat(registration) => {
                directory.record_heartbeat(self.now_ms(), registration)
            }
            EndpointEvent::Left { started_at_ms, id } => directory.record_leave(&id, started_at_ms),
        };
        if outcome == RecordOutcome::Changed {
            self.directory_changed.send_replace(directory.cursor());
        }
        outcome
    }

    /// Whether an endpoint of a software version is in the directory and has not left.
    pub(crate) fn is_version_present(&self, origin: &StreamOrigin) -> bool {
        lock(&self.directory).has_version(origin)
    }

    /// Applies a crash of an endpoint, and wakes the subscribers if it changes an accused part.
    pub(crate) fn accuse_parts(&self, accusation: &Accusation) -> Vec<PartChange> {
        let mut quarantine = lock(&self.part_quarantine);
        let changes = quarantine.accuse(self.now_ms(), accusation);
        self.publish_parts(&quarantine, changes.iter().any(PartChange::is_urgent));
        changes
    }

    /// Applies a sound answer, and wakes the subscribers if it changes an accused part.
    pub(crate) fn record_sound_part(&self, part: u64) -> Option<PartChange> {
        let mut quarantine = lock(&self.part_quarantine);
        let change = quarantine.record_sound(self.now_ms(), part);
        self.publish_parts(
            &quarantine,
            change.as_ref().is_some_and(PartChange::is_urgent),
        );
        change
    }

    /// Whether a request may probe these parts of its prompt.
    pub(crate) fn grant_probe(&self, parts: &[u64]) -> bool {
        lock(&self.part_quarantine).grant_probe(self.now_ms(), parts)
    }

    fn publish_parts(&self, quarantine: &PartQuarantine, is_urgent: bool) {
        let latest = quarantine.version();
        self.parts_changed.send_if_modified(|versions| {
            let is_changed = versions.latest != latest;
            versions.latest = latest;
            if is_urgent {
                versions.urgent = latest;
            }
            is_changed
        });
    }

    /// Inner addresses of all registries.
    pub(crate) fn registries(&self) -> Vec<SocketAddr> {
        lock(&self.registries).clone()
    }

    /// Time since this registry was opened.
    pub(crate) fn now_ms(&self) -> u64 {
        elapsed_ms(self.opened_at)
    }

    pub(crate) async fn poll(&self, request: PollRequest) -> PollAnswer {
        let hold_ms = request.hold_ms.min(POLL_HOLD_MS_MAX);
        let deadline = Instant::now() + Duration::from_millis(hold_ms);
        self.record_subscriber(&request.instance);
        let mut directory_changed = self.directory_changed.subscribe();
        let mut document = self.group.document();
        let is_confirmed = request.wants_confirmation && self.read_index.confirm_newest().await;
        let cursor = if request.directory_epoch == self.epoch {
            request.directory_cursor
        } else {
            0
        };
        let is_new_parts_epoch = request.parts_epoch != self.epoch;
        let parts_version = if is_new_parts_epoch {
            0
        } else {
            request.parts_version
        };
        let mut parts_changed = self.parts_changed.subscribe();
        let is_new = |version: u64| version > request.document_version;
        let batch_delay = update_batch_delay(lock(&self.subscribers).len());
        let directory_update = async {
            let changed = directory_changed.wait_for(|latest| *latest > cursor);
            // The publisher owns the sender, so the wait does not fail.
            let _ = changed.await.map(drop);
            sleep(batch_delay).await;
        };
        let parts_update = async {
            let changed = parts_changed.wait_for(|versions| versions.latest > parts_version);
            let _ = changed.await.map(drop);
            let urgent = parts_changed.wait_for(|versions| versions.urgent > parts_version);
            // A quarantine is published at once; other accusations wait for further changes.
            let _ = timeout(batch_delay, async { urgent.await.map(drop) }).await;
        };
        tokio::select! {
            biased;
            () = directory_update => {}
            () = parts_update => {}
            _ = document.wait_for(|latest| is_new(latest.version)) => {}
            () = sleep_until(deadline) => {}
        }
        let document_version = document.borrow().version;
        let (parts, parts_version) = {
            let quarantine = lock(&self.part_quarantine);
            let version = quarantine.version();
            let is_newer = is_new_parts_epoch || version > parts_version;
            let published = || quarantine.published(self.now_ms());
            let parts = is_newer.then(|| published().collect::<Vec<PublishedPart>>());
            (parts, version)
        };
        let encode_parts =
            |parts: Vec<PublishedPart>| postcard::to_stdvec(&parts).expect("parts can be encoded");
        let directory = lock(&self.directory);
        PollAnswer {
            directory_cursor: directory.cursor(),
            directory_epoch: self.epoch,
            document_version,
            is_leader: self.group.leader().0,
            is_confirmed,
            parts: parts.map(encode_parts),
            parts_version,
            records: postcard::to_stdvec(&directory.changes_since(cursor))
                .expect("records can be encoded"),
            registries: self.registries(),
            subscriber_count: u32::try_from(lock(&self.subscribers).len()).expect("instances fit"),
        }
    }

    /// Chunk of a change of the catalog; `None` if there is no catalog.
    pub(crate) fn read_change(&self, position: ChangePosition) -> Option<ChangeChunk> {
        let document = self.group.document();
        let mut history = lock(&self.catalog_history);
        history.add(&document.borrow());
        history.read(position)
    }

    fn record_subscriber(&self, instance: &str) {
        let now_ms = self.now_ms();
        let mut subscribers = lock(&self.subscribers);
        match subscribers.binary_search_by(|entry| entry.0.as_str().cmp(instance)) {
            Ok(index) => subscribers[index].1 = now_ms,
            Err(index) => subscribers.insert(index, (instance.to_owned(), now_ms)),
        }
    }

    /// Adds each document to the history, so that a subscriber which has one of them in force reads
    /// only what has changed since.
    async fn follow_documents(self: Arc<Self>) {
        let mut document = self.group.document();
        loop {
            lock(&self.catalog_history).add(&document.borrow_and_update());
            if document.changed().await.is_err() {
                return;
            }
        }
    }

    async fn run_maintenance(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
            let now_ms = self.now_ms();
            {
                let mut directory = lock(&self.directory);
                if directory.expire(now_ms, self.silent_after_ms) {
                    self.directory_changed.send_replace(directory.cursor());
                }
            }
            {
                let mut quarantine = lock(&self.part_quarantine);
                quarantine.expire(now_ms);
                self.publish_parts(&quarantine, false);
            }
            lock(&self.subscribers).retain(|entry| now_ms - entry.1 < SUBSCRIBER_TTL_MS);
            let is_present = |origin: &StreamOrigin| self.is_version_present(origin);
            self.version_register
                .remove_absent(now_ms, is_present)
                .await;
            let members = self.group.members().await;
            let addresses = members.iter().filter_map(|name| {
                let ip = name.as_str().parse().ok()?;
                Some(SocketAddr::new(ip, self.inner_port))
            });
            *lock(&self.registries) = addresses.collect();
        }
    }
}

/// Time for which directory changes are batched before this many subscribers are answered.
#[must_use]
pub fn update_batch_delay(subscribers: usize) -> Duration {
    let subscribers = u64::try_from(subscribers).unwrap_or(u64::MAX);
    let delay = Duration::from_micros(subscribers.saturating_mul(UPDATE_BATCH_US_PER_SUBSCRIBER));
    delay.min(Duration::from_millis(UPDATE_BATCH_MS_MAX))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
