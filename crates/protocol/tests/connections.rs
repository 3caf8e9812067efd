//! Authentication of connections, also against malformed bytes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use protocol::{Error, FleetKey, Traffic, connect};
use support::{KEY, serve};
use tarpc::context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn call(address: SocketAddr) -> Result<Vec<u8>, Error> {
    let traffic = Arc::new(Traffic::default());
    let client = connect(address, &FleetKey::new(KEY), &traffic).await?;
    let command = b"command".to_vec();
    let committed = client.propose(context::current(), command).await.unwrap();
    assert!(traffic.sent_bytes() > 0 && traffic.received_bytes() > 0);
    Ok(committed.unwrap().answer)
}

#[tokio::test]
async fn a_client_with_the_same_key_can_call() {
    let address = serve().await;
    assert_eq!(call(address).await.unwrap(), b"command");
}

#[tokio::test]
async fn a_client_with_another_key_is_refused() {
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
async fn malformed_bytes_do_not_stop_the_listener() {
    let address = serve().await;
    for length_bytes in [0, 1, 31, 32, 64, 65, 4_096] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // A refused connection may end before all bytes are written.
        let _ = stream.write_all(&vec![0xff; length_bytes]).await;
        drop(stream);
    }
    assert_eq!(call(address).await.unwrap(), b"command");
}
