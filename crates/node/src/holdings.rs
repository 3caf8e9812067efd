//! What an instance holds of the published state, renewed by its subscription.
//!
//! Table, assignments and lease change together under one lock: whoever sees a live lease also sees
//! every change that was accepted before the lease was asked for.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use names::{Incarnation, InstanceName, LogIndex};
use protocol::SyncUpdate;
use session::{Assignment, Assignments, ConfigurationLease, Roster, Shard};
use table::{Items, Publication, Revision, ViewOutcome, ViewPublisher};
use tokio::sync::watch;

use crate::clock::Clock;

/// The published state as one instance holds it.
#[derive(Debug)]
pub(crate) struct Holdings {
    changed: watch::Sender<u64>,
    clock: Clock,
    held: Mutex<Held>,
    unready: AtomicBool,
}

/// The parts that change together.
#[derive(Debug, Default)]
pub(crate) struct Held {
    pub(crate) assignments: Assignments,
    pub(crate) feed: ViewPublisher,
    pub(crate) in_force: LogIndex,
    pub(crate) leader: Option<InstanceName>,
    pub(crate) lease: ConfigurationLease,
    pub(crate) roster: Roster,
    /// Shards that endpoints announced and that have no owner yet.
    pub(crate) wanted: Vec<Shard>,
}

impl Holdings {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            changed: watch::Sender::new(0),
            clock,
            held: Mutex::new(Held::default()),
            unready: AtomicBool::new(false),
        }
    }

    /// Takes a publisher's answer to a request sent at `sent_ms`.
    ///
    /// An update that does not connect to what is held renews no lease.
    pub(crate) fn apply(&self, sent_ms: u64, update: SyncUpdate) {
        let mut held = self.lock();
        let mut news = false;
        if let Some(publication) = update.table {
            match held.feed.apply(publication) {
                ViewOutcome::Applied => news = true,
                ViewOutcome::Gap | ViewOutcome::Mismatch => return,
                ViewOutcome::Stale => {}
            }
        }
        if let Some(assignments) = &update.assignments {
            held.assignments.merge(assignments);
            news = true;
        }
        if let Some(roster) = &update.roster {
            held.roster.apply(roster);
            news = true;
        }
        news |= held.leader.as_ref() != Some(&update.leader);
        news |= held.in_force < update.in_force_revision;
        held.in_force = held.in_force.max(update.in_force_revision);
        held.leader = Some(update.leader);
        held.lease.renew(sent_ms, update.lease_ms);
        held.forget_assigned_wishes();
        drop(held);
        if news {
            self.notify();
        }
    }

    /// Assignment of a shard.
    pub(crate) fn assignment(&self, shard: &Shard) -> Option<Assignment> {
        self.lock().assignments.get(shard).cloned()
    }

    /// Receives a number that grows with each change of what is held.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_unready(&self) -> bool {
        self.unready.load(Ordering::SeqCst)
    }

    pub(crate) fn lease_live(&self) -> bool {
        self.lock().lease.is_live(self.clock.now_ms())
    }

    /// Locks what is held for a short look or change.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes everybody who waits for changes.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether this run of `owner` owns the shard under a live lease.
    pub(crate) fn owns(&self, shard: &Shard, owner: &InstanceName, run: Incarnation) -> bool {
        let held = self.lock();
        held.lease.is_live(self.clock.now_ms())
            && held
                .assignments
                .get(shard)
                .is_some_and(|held| held.owner == *owner && held.incarnation == run)
    }

    /// Notes that a planned stop has begun.
    pub(crate) fn set_unready(&self) {
        self.unready.store(true, Ordering::SeqCst);
    }

    /// Looks at the table.
    pub(crate) fn table<T>(&self, look: impl FnOnce(&Items) -> T) -> T {
        look(self.lock().feed.items())
    }

    /// What changed in the table since `revision`, and the revision reached.
    pub(crate) fn table_since(&self, revision: Revision) -> (Option<Publication>, Revision) {
        let held = self.lock();
        (held.feed.publication_since(revision), held.feed.revision())
    }

    /// Asks for an owner of a shard with the next heartbeat.
    pub(crate) fn want(&self, shards: &[Shard]) {
        let mut held = self.lock();
        for shard in shards {
            if held.assignments.get(shard).is_some() {
                continue;
            }
            if let Err(position) = held.wanted.binary_search(shard) {
                held.wanted.insert(position, shard.clone());
            }
        }
    }
}

impl Held {
    fn forget_assigned_wishes(&mut self) {
        let assignments = &self.assignments;
        self.wanted.retain(|shard| assignments.get(shard).is_none());
    }
}
