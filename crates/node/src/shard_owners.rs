//! The shards that this instance owns.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use names::{Epoch, Incarnation, InstanceName};
use protocol::EndpointReport;
use session::Shard;
use slog::Logger;
use xtra::Address;

use crate::clock::Clock;
use crate::owner::{ListEndpoints, Ownership, ShardOwner, spawn_owner};
use crate::published_state::PublishedState;

/// Owners of the shards assigned to this instance.
#[derive(Debug)]
pub(crate) struct ShardOwners {
    clock: Clock,
    draining: Arc<AtomicBool>,
    incarnation: Incarnation,
    instance: InstanceName,
    log: Logger,
    published: Arc<PublishedState>,
    /// Sorted by shard.
    running: Mutex<Vec<RunningOwner>>,
}

/// Actor of one shard.
#[derive(Debug)]
struct RunningOwner {
    address: Address<ShardOwner>,
    epoch: Epoch,
    shard: Shard,
}

impl ShardOwners {
    /// Starts a task that starts and stops owners as the assignments change.
    pub(crate) fn spawn(
        instance: &InstanceName,
        incarnation: Incarnation,
        published: &Arc<PublishedState>,
        draining: &Arc<AtomicBool>,
        clock: Clock,
        log: &Logger,
    ) -> Arc<Self> {
        let owners = Arc::new(Self {
            clock,
            draining: Arc::clone(draining),
            incarnation,
            instance: instance.clone(),
            log: log.clone(),
            published: Arc::clone(published),
            running: Mutex::new(Vec::new()),
        });
        tokio::spawn(reconcile_on_changes(Arc::clone(&owners)));
        owners
    }

    /// Owner of a shard, if it runs on this instance under `epoch`.
    pub(crate) fn get(&self, shard: &Shard, epoch: Epoch) -> Option<Address<ShardOwner>> {
        let owners = self.lock();
        let position = owners
            .binary_search_by(|owner| owner.shard.cmp(shard))
            .ok()?;
        let owner = &owners[position];
        (owner.epoch == epoch).then(|| owner.address.clone())
    }

    /// Endpoints leased by the owners of this instance.
    pub(crate) async fn endpoints(&self) -> Vec<EndpointReport> {
        let addresses: Vec<_> = self
            .lock()
            .iter()
            .map(|owner| owner.address.clone())
            .collect();
        let mut endpoints = Vec::new();
        for address in addresses {
            // An owner that has just stopped has no endpoints.
            endpoints.extend(address.send(ListEndpoints).await.unwrap_or_default());
        }
        endpoints
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunningOwner>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn assigned_ownerships(&self) -> Vec<Ownership> {
        self.published
            .lock()
            .assignments
            .iter()
            .filter(|assignment| {
                assignment.owner == self.instance && assignment.incarnation == self.incarnation
            })
            .map(|assignment| Ownership {
                epoch: assignment.epoch,
                incarnation: assignment.incarnation,
                instance: assignment.owner.clone(),
                predecessor: assignment.predecessor,
                shard: assignment.shard.clone(),
            })
            .collect()
    }

    fn reconcile(&self) {
        let assigned = self.assigned_ownerships();
        let mut owners = self.lock();
        owners.retain(|owner| {
            assigned
                .iter()
                .any(|ownership| ownership.shard == owner.shard && ownership.epoch == owner.epoch)
        });
        for ownership in assigned {
            let Err(position) = owners.binary_search_by(|owner| owner.shard.cmp(&ownership.shard))
            else {
                continue;
            };
            let owner = RunningOwner {
                epoch: ownership.epoch,
                shard: ownership.shard.clone(),
                address: spawn_owner(
                    ownership,
                    &self.published,
                    &self.draining,
                    self.clock,
                    &self.log,
                ),
            };
            owners.insert(position, owner);
        }
    }
}

async fn reconcile_on_changes(owners: Arc<ShardOwners>) {
    let mut changes = owners.published.changes();
    loop {
        owners.reconcile();
        if changes.changed().await.is_err() {
            return;
        }
    }
}
