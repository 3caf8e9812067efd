//! The instance's copy of the published state, renewed by its subscription.
//!
//! Table, assignments and lease change together under one lock. A reader that sees a live lease
//! also sees every change that was accepted before the lease was requested.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use names::{Incarnation, InstanceName, LogIndex};
use protocol::SyncUpdate;
use session::{Assignment, Assignments, ConfigurationLease, Roster, Shard};
use table::{Items, Publication, Revision, ViewOutcome, ViewPublisher};
use tokio::sync::watch;

use crate::clock::Clock;

/// The instance's copy of the published state, shared by its tasks.
#[derive(Debug)]
pub(crate) struct PublishedState {
    change_count: watch::Sender<u64>,
    clock: Clock,
    data: Mutex<PublishedData>,
    /// Set when a planned stop begins; the instance then reports that it is not ready.
    unready: AtomicBool,
}

/// Contents of a [`PublishedState`].
#[derive(Debug, Default)]
pub(crate) struct PublishedData {
    pub(crate) assignments: Assignments,
    /// Greatest revision of the table that every live instance has applied.
    pub(crate) in_force_revision: LogIndex,
    pub(crate) leader: Option<InstanceName>,
    pub(crate) lease: ConfigurationLease,
    pub(crate) roster: Roster,
    pub(crate) table_view: ViewPublisher,
    /// Shards that endpoints announced and that have no owner yet.
    pub(crate) unowned_shards: Vec<Shard>,
}

impl PublishedState {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            change_count: watch::Sender::new(0),
            clock,
            data: Mutex::new(PublishedData::default()),
            unready: AtomicBool::new(false),
        }
    }

    /// Applies a publisher's answer to a request sent at `sent_ms`.
    ///
    /// A table update that does not continue the current revision renews no lease.
    pub(crate) fn apply(&self, sent_ms: u64, update: SyncUpdate) {
        let mut data = self.lock();
        let mut changed = false;
        if let Some(publication) = update.table {
            match data.table_view.apply(publication) {
                ViewOutcome::Applied => changed = true,
                ViewOutcome::Gap | ViewOutcome::Mismatch => return,
                ViewOutcome::Stale => {}
            }
        }
        if let Some(assignments) = &update.assignments {
            data.assignments.merge(assignments);
            changed = true;
        }
        if let Some(roster) = &update.roster {
            data.roster.apply(roster);
            changed = true;
        }
        changed |= data.leader.as_ref() != Some(&update.leader);
        changed |= data.in_force_revision < update.in_force_revision;
        data.in_force_revision = data.in_force_revision.max(update.in_force_revision);
        data.leader = Some(update.leader);
        data.lease.renew(sent_ms, update.lease_ms);
        data.remove_assigned_shards();
        drop(data);
        if changed {
            self.notify();
        }
    }

    /// Assignment of a shard.
    pub(crate) fn assignment(&self, shard: &Shard) -> Option<Assignment> {
        self.lock().assignments.get(shard).cloned()
    }

    /// Notifies of changes; the received number grows with each of them.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    pub(crate) fn has_live_lease(&self) -> bool {
        self.lock().lease.is_live(self.clock.now_ms())
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_unready(&self) -> bool {
        self.unready.load(Ordering::SeqCst)
    }

    /// Locks the contents for a short read or change.
    pub(crate) fn lock(&self) -> MutexGuard<'_, PublishedData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the receivers of [`Self::changes`].
    pub(crate) fn notify(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Whether this incarnation of `owner` owns the shard under a live lease.
    pub(crate) fn owns(
        &self,
        shard: &Shard,
        owner: &InstanceName,
        incarnation: Incarnation,
    ) -> bool {
        let data = self.lock();
        data.lease.is_live(self.clock.now_ms())
            && data.assignments.get(shard).is_some_and(|assignment| {
                assignment.owner == *owner && assignment.incarnation == incarnation
            })
    }

    /// Requests an owner for each of `shards` that has none, with the next heartbeat.
    pub(crate) fn request_owners(&self, shards: &[Shard]) {
        let mut data = self.lock();
        for shard in shards {
            if data.assignments.get(shard).is_some() {
                continue;
            }
            if let Err(position) = data.unowned_shards.binary_search(shard) {
                data.unowned_shards.insert(position, shard.clone());
            }
        }
    }

    /// Records that a planned stop has begun.
    pub(crate) fn set_unready(&self) {
        self.unready.store(true, Ordering::SeqCst);
    }

    /// Changes of the table since `revision`, and the current revision.
    pub(crate) fn table_since(&self, revision: Revision) -> (Option<Publication>, Revision) {
        let data = self.lock();
        (
            data.table_view.publication_since(revision),
            data.table_view.revision(),
        )
    }

    /// Calls `read` with the items of the table, under the lock.
    pub(crate) fn with_table<T>(&self, read: impl FnOnce(&Items) -> T) -> T {
        read(self.lock().table_view.items())
    }
}

impl PublishedData {
    fn remove_assigned_shards(&mut self) {
        let assignments = &self.assignments;
        self.unowned_shards
            .retain(|shard| assignments.get(shard).is_none());
    }
}
