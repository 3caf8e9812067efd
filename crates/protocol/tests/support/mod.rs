//! A server on loopback for an instance that owns no shards.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use names::InstanceName;
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, CommittedCommand,
    EndpointReport, FleetKey, History, HistoryRequest, Inner, Listener, ProgressAnswer,
    ProgressReport, ProposeError, SyncAnswer, SyncRequest, Traffic,
};
use session::Heartbeat;
use table::{Edit, EditOutcome};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::JoinSet;

pub const KEY: &[u8] = b"a key of this deployment";

/// Instance that owns no shards; echoes proposed commands.
#[derive(Clone)]
struct ShardlessInstance;

impl Inner for ShardlessInstance {
    async fn acquire(self, _: Context, _: AcquireRequest) -> AcquireAnswer {
        AcquireAnswer::NotOwner
    }

    async fn deliver_agreement(self, _: Context, _: InstanceName, _: Vec<u8>) {}

    async fn announce(self, _: Context, _: AnnounceRequest) -> AnnounceAnswer {
        AnnounceAnswer::NotOwner
    }

    async fn edit(self, _: Context, _: Edit) -> Result<EditOutcome, ProposeError> {
        Err(ProposeError::Unavailable)
    }

    async fn endpoints(self, _: Context) -> Vec<EndpointReport> {
        Vec::new()
    }

    async fn history(self, _: Context, _: HistoryRequest) -> Result<History, ProposeError> {
        Err(ProposeError::Unavailable)
    }

    async fn instances(self, _: Context) -> Result<Vec<Heartbeat>, ProposeError> {
        Err(ProposeError::Unavailable)
    }

    async fn progress(self, _: Context, _: ProgressReport) -> ProgressAnswer {
        ProgressAnswer::NotOwner
    }

    async fn propose(self, _: Context, command: Vec<u8>) -> Result<CommittedCommand, ProposeError> {
        Ok(CommittedCommand {
            answer: command,
            index: names::LogIndex(1),
        })
    }

    async fn sync(self, _: Context, _: SyncRequest) -> SyncAnswer {
        SyncAnswer::Superseded
    }
}

/// Serves authenticated connections on a free port of loopback; returns the address.
pub async fn serve() -> SocketAddr {
    let traffic = Arc::new(Traffic::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any_port, &FleetKey::new(KEY), &traffic)
        .await
        .unwrap();
    let address = listener.address();
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Some(pending) = listener.accept().await {
            connections.spawn(async move {
                let Ok(transport) = pending.authenticate().await else {
                    return;
                };
                let requests =
                    BaseChannel::with_defaults(transport).execute(ShardlessInstance.serve());
                requests.for_each(|call| call).await;
            });
        }
    });
    address
}
