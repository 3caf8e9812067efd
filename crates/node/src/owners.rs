//! The shards that this instance owns.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use names::{Epoch, Incarnation, InstanceName};
use protocol::EndpointReport;
use session::Shard;
use slog::Logger;
use xtra::Address;

use crate::clock::Clock;
use crate::holdings::Holdings;
use crate::owner::{Identity, Overview, ShardOwner, spawn};

/// Running owners, sorted by shard.
#[derive(Debug)]
pub(crate) struct Owners {
    clock: Clock,
    draining: Arc<AtomicBool>,
    holdings: Arc<Holdings>,
    incarnation: Incarnation,
    instance: InstanceName,
    log: Logger,
    running: Mutex<Vec<Owned>>,
}

#[derive(Debug)]
struct Owned {
    address: Address<ShardOwner>,
    epoch: Epoch,
    shard: Shard,
}

impl Owners {
    /// Starts and stops owners as the assignments change.
    pub(crate) fn spawn(
        instance: &InstanceName,
        incarnation: Incarnation,
        holdings: &Arc<Holdings>,
        draining: &Arc<AtomicBool>,
        clock: Clock,
        log: &Logger,
    ) -> Arc<Self> {
        let owners = Arc::new(Self {
            clock,
            draining: Arc::clone(draining),
            holdings: Arc::clone(holdings),
            incarnation,
            instance: instance.clone(),
            log: log.clone(),
            running: Mutex::new(Vec::new()),
        });
        tokio::spawn(follow(Arc::clone(&owners)));
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
            endpoints.extend(address.send(Overview).await.unwrap_or_default());
        }
        endpoints
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Owned>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> Vec<Identity> {
        self.holdings
            .lock()
            .assignments
            .iter()
            .filter(|held| held.owner == self.instance && held.incarnation == self.incarnation)
            .map(|held| Identity {
                epoch: held.epoch,
                incarnation: held.incarnation,
                instance: held.owner.clone(),
                predecessor: held.predecessor,
                shard: held.shard.clone(),
            })
            .collect()
    }

    fn reconcile(&self) {
        let own = self.own();
        let mut owners = self.lock();
        owners.retain(|owned| {
            own.iter()
                .any(|identity| identity.shard == owned.shard && identity.epoch == owned.epoch)
        });
        for identity in own {
            let Err(position) = owners.binary_search_by(|owned| owned.shard.cmp(&identity.shard))
            else {
                continue;
            };
            let owned = Owned {
                epoch: identity.epoch,
                shard: identity.shard.clone(),
                address: spawn(
                    identity,
                    &self.holdings,
                    &self.draining,
                    self.clock,
                    &self.log,
                ),
            };
            owners.insert(position, owned);
        }
    }
}

async fn follow(owners: Arc<Owners>) {
    let mut changes = owners.holdings.changes();
    loop {
        owners.reconcile();
        if changes.changed().await.is_err() {
            return;
        }
    }
}
