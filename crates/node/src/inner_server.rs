//! Serves RPC calls of other instances.

use std::sync::Arc;

use agreement::Envelope;
use control::GroupHandle;
use futures::StreamExt;
use names::InstanceName;
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, CommittedCommand,
    EndpointReport, HistoryRequest, Inner, Listener, PendingConnection, ProgressAnswer,
    ProgressReport, ProposeError, SyncAnswer, SyncRequest,
};
use session::Heartbeat;
use slog::{Logger, warn};
use table::{Edit, EditOutcome, HistoryEntry};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::JoinSet;

use crate::proposer::Proposer;
use crate::shard_owners::ShardOwners;
use crate::shard_router::ShardRouter;
use crate::state_publisher::StatePublisher;

/// Largest command that is accepted for the replicated log.
const COMMAND_BYTES_MAX: usize = 4 * 1024 * 1024;

/// RPC service for other instances.
#[derive(Debug, Clone)]
pub(crate) struct InnerServer {
    pub(crate) control: Option<Arc<GroupHandle>>,
    pub(crate) log: Logger,
    pub(crate) proposer: Arc<Proposer>,
    pub(crate) shard_owners: Arc<ShardOwners>,
    pub(crate) shard_router: Arc<ShardRouter>,
    pub(crate) state_publisher: Arc<StatePublisher>,
}

impl InnerServer {
    /// Accepts and serves connections until the task is dropped.
    pub(crate) async fn run(self, listener: Listener) {
        let mut connections = JoinSet::new();
        while let Some(pending) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            connections.spawn(self.clone().serve_connection(pending));
        }
    }

    async fn serve_connection(self, pending: PendingConnection) {
        let transport = match pending.authenticate().await {
            Ok(transport) => transport,
            Err(error) => {
                warn!(self.log, "inner connection refused"; "error" => %error);
                return;
            }
        };
        let mut calls = JoinSet::new();
        let mut requests = Box::pin(BaseChannel::with_defaults(transport).execute(self.serve()));
        while let Some(call) = requests.next().await {
            while calls.try_join_next().is_some() {}
            calls.spawn(call);
        }
    }
}

impl Inner for InnerServer {
    async fn acquire(self, _: Context, request: AcquireRequest) -> AcquireAnswer {
        self.shard_router.acquire_locally(request).await
    }

    async fn deliver_agreement(self, _: Context, from: InstanceName, message: Vec<u8>) {
        let Some(control) = &self.control else {
            return;
        };
        match postcard::from_bytes::<Envelope>(&message) {
            Ok(envelope) if envelope.from.name == from => control.deliver(envelope).await,
            Ok(_) | Err(_) => {
                warn!(self.log, "malformed voter message dropped"; "from" => %from);
            }
        }
    }

    async fn announce(self, _: Context, request: AnnounceRequest) -> AnnounceAnswer {
        self.shard_router.announce_locally(request).await
    }

    async fn edit(self, _: Context, edit: Edit) -> Result<EditOutcome, ProposeError> {
        self.proposer.edit_locally(edit).await
    }

    async fn endpoints(self, _: Context) -> Vec<EndpointReport> {
        self.shard_owners.endpoints().await
    }

    async fn history(
        self,
        _: Context,
        request: HistoryRequest,
    ) -> Result<Vec<HistoryEntry>, ProposeError> {
        self.proposer.history_locally(request).await
    }

    async fn instances(self, _: Context) -> Result<Vec<Heartbeat>, ProposeError> {
        self.proposer.instances_locally().await
    }

    async fn progress(self, _: Context, report: ProgressReport) -> ProgressAnswer {
        self.shard_router.progress_locally(report).await
    }

    async fn propose(self, _: Context, command: Vec<u8>) -> Result<CommittedCommand, ProposeError> {
        if command.len() > COMMAND_BYTES_MAX {
            return Err(ProposeError::Unavailable);
        }
        self.proposer.propose_locally(command).await
    }

    async fn sync(self, _: Context, request: SyncRequest) -> SyncAnswer {
        self.state_publisher.sync(&request).await
    }
}
