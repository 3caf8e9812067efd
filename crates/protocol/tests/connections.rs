//! Who may connect, and what hostile bytes do to a listener.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use names::InstanceName;
use protocol::{
    AcquireAnswer, AcquireRequest, AnnounceAnswer, AnnounceRequest, EndpointReport, Error,
    FleetKey, History, HistoryRequest, Inner, Listener, ProgressAnswer, ProgressReport,
    ProposeError, Proposed, SyncAnswer, SyncRequest, Traffic, connect,
};
use session::Heartbeat;
use table::{Edit, EditOutcome};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const KEY: &[u8] = b"a key of this deployment";

/// Answers every call as an instance that owns nothing.
#[derive(Clone)]
struct Nobody;

impl Inner for Nobody {
    async fn acquire(self, _: Context, _: AcquireRequest) -> AcquireAnswer {
        AcquireAnswer::NotOwner
    }

    async fn agree(self, _: Context, _: InstanceName, _: Vec<u8>) {}

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

    async fn propose(self, _: Context, command: Vec<u8>) -> Result<Proposed, ProposeError> {
        Ok(Proposed {
            answer: command,
            index: names::LogIndex(1),
        })
    }

    async fn sync(self, _: Context, _: SyncRequest) -> SyncAnswer {
        SyncAnswer::Superseded
    }
}

/// Listens, serves every connection that authenticates, and gives the address.
async fn serve() -> SocketAddr {
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
                let Ok(transport) = pending.open().await else {
                    return;
                };
                let requests = BaseChannel::with_defaults(transport).execute(Nobody.serve());
                requests.for_each(|call| call).await;
            });
        }
    });
    address
}

async fn call(address: SocketAddr) -> Result<Vec<u8>, Error> {
    let traffic = Arc::new(Traffic::default());
    let client = connect(address, &FleetKey::new(KEY), &traffic).await?;
    let command = b"command".to_vec();
    let proposed = client.propose(context::current(), command).await.unwrap();
    assert!(traffic.sent_bytes() > 0 && traffic.received_bytes() > 0);
    Ok(proposed.unwrap().answer)
}

#[tokio::test]
async fn instances_with_the_same_key_talk() {
    let address = serve().await;
    assert_eq!(call(address).await.unwrap(), b"command");
}

#[tokio::test]
async fn another_key_is_refused() {
    let address = serve().await;
    let traffic = Arc::new(Traffic::default());
    let refused = connect(address, &FleetKey::new(b"another key"), &traffic).await;
    assert!(matches!(refused, Err(Error::Authentication { .. })));
}

#[tokio::test]
async fn a_reflected_proof_is_refused() {
    let address = serve().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut challenge = [0; 32];
    stream.read_exact(&mut challenge).await.unwrap();
    stream.write_all(&challenge).await.unwrap();
    let mut proof = [0; 32];
    stream.read_exact(&mut proof).await.unwrap();
    stream.write_all(&proof).await.unwrap();
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).await.unwrap_or(0), 0);
}

#[tokio::test]
async fn hostile_bytes_leave_the_listener_serving() {
    let address = serve().await;
    for length_bytes in [0, 1, 31, 32, 64, 65, 4_096] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // A refused connection may end before all bytes are written.
        let _ = stream.write_all(&vec![0xff; length_bytes]).await;
        drop(stream);
    }
    assert_eq!(call(address).await.unwrap(), b"command");
}
