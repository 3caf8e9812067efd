//! Sends calls to the owner of a shard, here or on another instance.

use std::sync::Arc;

use names::{Epoch, InstanceName, RequestId};
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, ProgressAnswer, ProgressReport,
};
use session::Shard;
use tokio::sync::oneshot;
use xtra::Address;

use crate::owner::{Acquire, Announce, Progress, ShardOwner, Withdraw};
use crate::owners::Owners;
use crate::peers::{Peers, within};

/// Longest time for a call that does not wait in a queue.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Way to the owners of all shards.
#[derive(Debug)]
pub(crate) struct Router {
    instance: InstanceName,
    owners: Arc<Owners>,
    peers: Arc<Peers>,
}

/// Takes a request back unless it was answered.
struct Withdrawal {
    owner: Address<ShardOwner>,
    request: Option<RequestId>,
}

impl Router {
    pub(crate) fn new(instance: &InstanceName, owners: &Arc<Owners>, peers: &Arc<Peers>) -> Self {
        Self {
            instance: instance.clone(),
            owners: Arc::clone(owners),
            peers: Arc::clone(peers),
        }
    }

    /// Asks the owner on `instance` for a permit; none where the instance does not answer.
    pub(crate) async fn acquire(
        &self,
        instance: &InstanceName,
        request: AcquireRequest,
    ) -> Option<AcquireAnswer> {
        if *instance == self.instance {
            return Some(self.acquire_here(request).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let context = within(request.wait_ms + CALL_TIMEOUT_MS);
        let answer = client.acquire(context, request).await;
        answer.inspect_err(|_| self.peers.failed(instance)).ok()
    }

    /// Asks an owner on this instance for a permit; dropping the future withdraws the request.
    pub(crate) async fn acquire_here(&self, request: AcquireRequest) -> AcquireAnswer {
        let Some(owner) = self.owner(&request.shard, request.epoch) else {
            return AcquireAnswer::NotOwner;
        };
        let (answer, answered) = oneshot::channel();
        let Ok(number) = owner.send(Acquire { answer, request }).await else {
            return AcquireAnswer::NotOwner;
        };
        let mut withdrawal = Withdrawal {
            owner,
            request: number,
        };
        let answer = answered.await.unwrap_or(AcquireAnswer::NotOwner);
        withdrawal.request = None;
        answer
    }

    /// Hands an announcement to the owner on `instance`.
    pub(crate) async fn announce(
        &self,
        instance: &InstanceName,
        request: AnnounceRequest,
    ) -> Option<AnnounceAnswer> {
        if *instance == self.instance {
            return Some(self.announce_here(request).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let answer = client.announce(within(CALL_TIMEOUT_MS), request).await;
        answer.inspect_err(|_| self.peers.failed(instance)).ok()
    }

    /// Hands an announcement to an owner on this instance.
    pub(crate) async fn announce_here(&self, request: AnnounceRequest) -> AnnounceAnswer {
        let Some(owner) = self.owner(&request.shard, request.epoch) else {
            return AnnounceAnswer::NotOwner;
        };
        let announce = Announce {
            announcement: request.announcement,
            endpoint: request.endpoint,
        };
        owner
            .send(announce)
            .await
            .unwrap_or(AnnounceAnswer::NotOwner)
    }

    /// Reports permits to the owner on `instance`.
    pub(crate) async fn progress(
        &self,
        instance: &InstanceName,
        report: &ProgressReport,
    ) -> Option<ProgressAnswer> {
        if *instance == self.instance {
            return Some(self.progress_here(report.clone()).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let context = within(CALL_TIMEOUT_MS);
        let answer = client.progress(context, report.clone()).await;
        answer.inspect_err(|_| self.peers.failed(instance)).ok()
    }

    /// Reports permits to an owner on this instance.
    pub(crate) async fn progress_here(&self, report: ProgressReport) -> ProgressAnswer {
        let Some(owner) = self.owner(&report.shard, report.epoch) else {
            return ProgressAnswer::NotOwner;
        };
        owner
            .send(Progress(report))
            .await
            .unwrap_or(ProgressAnswer::NotOwner)
    }

    fn owner(&self, shard: &Shard, epoch: Epoch) -> Option<Address<ShardOwner>> {
        self.owners.get(shard, epoch)
    }
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        let Some(request) = self.request else {
            return;
        };
        let owner = self.owner.clone();
        tokio::spawn(async move {
            // An owner that has stopped holds no requests.
            let _ = owner.send(Withdraw { request }).await;
        });
    }
}
