//! Sends calls to the owner of a shard, on this or another instance.

use std::sync::Arc;

use names::{Epoch, InstanceName, RequestId};
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, ProgressAnswer, ProgressReport,
};
use session::Shard;
use tokio::sync::oneshot;
use xtra::Address;

use crate::owner::{Acquire, Announce, ReportProgress, ShardOwner, WithdrawRequest};
use crate::peers::{Peers, context_with_timeout};
use crate::shard_owners::ShardOwners;

/// Timeout of a call, besides the time that it may wait in a queue.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Calls the owners of all shards.
#[derive(Debug)]
pub(crate) struct ShardRouter {
    instance: InstanceName,
    peers: Arc<Peers>,
    shard_owners: Arc<ShardOwners>,
}

/// Withdraws a request when dropped, unless `request` was cleared after its answer.
struct WithdrawOnDrop {
    owner: Address<ShardOwner>,
    request: Option<RequestId>,
}

impl ShardRouter {
    pub(crate) fn new(
        instance: &InstanceName,
        shard_owners: &Arc<ShardOwners>,
        peers: &Arc<Peers>,
    ) -> Self {
        Self {
            instance: instance.clone(),
            peers: Arc::clone(peers),
            shard_owners: Arc::clone(shard_owners),
        }
    }

    /// Requests a permit from the owner on `instance`; `None` if the instance does not answer.
    pub(crate) async fn acquire(
        &self,
        instance: &InstanceName,
        request: AcquireRequest,
    ) -> Option<AcquireAnswer> {
        if *instance == self.instance {
            return Some(self.acquire_locally(request).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let context = context_with_timeout(request.wait_ms + CALL_TIMEOUT_MS);
        let answer = client.acquire(context, request).await;
        answer.inspect_err(|_| self.peers.disconnect(instance)).ok()
    }

    /// Requests a permit from an owner on this instance; dropping the future withdraws the request.
    pub(crate) async fn acquire_locally(&self, request: AcquireRequest) -> AcquireAnswer {
        let Some(owner) = self.owner(&request.shard, request.epoch) else {
            return AcquireAnswer::NotOwner;
        };
        let (answer, receiver) = oneshot::channel();
        let Ok(number) = owner.send(Acquire { answer, request }).await else {
            return AcquireAnswer::NotOwner;
        };
        let mut withdraw_on_drop = WithdrawOnDrop {
            owner,
            request: number,
        };
        let answer = receiver.await.unwrap_or(AcquireAnswer::NotOwner);
        withdraw_on_drop.request = None;
        answer
    }

    /// Sends an announcement to the owner on `instance`; `None` if the instance does not answer.
    pub(crate) async fn announce(
        &self,
        instance: &InstanceName,
        request: AnnounceRequest,
    ) -> Option<AnnounceAnswer> {
        if *instance == self.instance {
            return Some(self.announce_locally(request).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let answer = client
            .announce(context_with_timeout(CALL_TIMEOUT_MS), request)
            .await;
        answer.inspect_err(|_| self.peers.disconnect(instance)).ok()
    }

    /// Sends an announcement to an owner on this instance.
    pub(crate) async fn announce_locally(&self, request: AnnounceRequest) -> AnnounceAnswer {
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

    /// Reports permits to the owner on `instance`; `None` if the instance does not answer.
    pub(crate) async fn progress(
        &self,
        instance: &InstanceName,
        report: &ProgressReport,
    ) -> Option<ProgressAnswer> {
        if *instance == self.instance {
            return Some(self.progress_locally(report.clone()).await);
        }
        let client = self.peers.client(instance).await.ok()?;
        let context = context_with_timeout(CALL_TIMEOUT_MS);
        let answer = client.progress(context, report.clone()).await;
        answer.inspect_err(|_| self.peers.disconnect(instance)).ok()
    }

    /// Reports permits to an owner on this instance.
    pub(crate) async fn progress_locally(&self, report: ProgressReport) -> ProgressAnswer {
        let Some(owner) = self.owner(&report.shard, report.epoch) else {
            return ProgressAnswer::NotOwner;
        };
        owner
            .send(ReportProgress(report))
            .await
            .unwrap_or(ProgressAnswer::NotOwner)
    }

    fn owner(&self, shard: &Shard, epoch: Epoch) -> Option<Address<ShardOwner>> {
        self.shard_owners.get(shard, epoch)
    }
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        let Some(request) = self.request else {
            return;
        };
        let owner = self.owner.clone();
        tokio::spawn(async move {
            // An owner that has stopped has no requests to withdraw.
            let _ = owner.send(WithdrawRequest { request }).await;
        });
    }
}
