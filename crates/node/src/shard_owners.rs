//! The shards that this instance owns.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use names::{Epoch, Incarnation, InstanceName};
use protocol::EndpointReport;
use session::Shard;
use slog::Logger;
use xtra::Address;

use crate::clock::Clock;
use crate::owner::{ListEndpoints, Ownership, ShardOwner, spawn};
use crate::published_state::PublishedState;

/// Running owners, sorted by shard.
#[derive(Debug)]
pub(crate) struct ShardOwners {
    clock: Clock,
    draining: Arc<AtomicBool>,
    published: Arc<PublishedState>,
    incarnation: Incarnation,
    instance: InstanceName,
    log: Logger,
    running: Mutex<Vec<RunningOwner>>,
}

#[derive(Debug)]
struct RunningOwner {
    address: Address<ShardOwner>,
    epoch: Epoch,
    shard: Shard,
}

impl ShardOwners {
    /// Starts and stops owners as the assignments change.
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
            published: Arc::clone(published),
            incarnation,
            instance: instance.clone(),
            log: log.clone(),
            running: Mutex::new(Vec::new()),
        });
        tokio::spawn(reconcile_on_changes(Arc::clone(&owners)));
        owners
    }

    /// The owner of a shard, if it runs here under that epoch.
    pub(crate) fn get(&self, shard: &Shard, epoch: Epoch) -> Option<Address<ShardOwner>> {
        let owners = self.lock();
        let position = owners
            .binary_search_by(|owned| owned.shard.cmp(shard))
            .ok()?;
        let owned = &owners[position];
        (owned.epoch == epoch).then(|| owned.address.clone())
    }

    /// Endpoints under lease here.
    pub(crate) async fn endpoints(&self) -> Vec<EndpointReport> {
        let addresses: Vec<_> = self.lock().iter().map(|o| o.address.clone()).collect();
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

    fn own(&self) -> Vec<Ownership> {
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
        let own = self.own();
        let mut owners = self.lock();
        owners.retain(|owned| {
            own.iter()
                .any(|ownership| ownership.shard == owned.shard && ownership.epoch == owned.epoch)
        });
        for ownership in own {
            let Err(position) = owners.binary_search_by(|owned| owned.shard.cmp(&ownership.shard))
            else {
                continue;
            };
            let owned = RunningOwner {
                epoch: ownership.epoch,
                shard: ownership.shard.clone(),
                address: spawn(
                    ownership,
                    &self.published,
                    &self.draining,
                    self.clock,
                    &self.log,
                ),
            };
            owners.insert(position, owned);
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
