use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const ACCEPT_PAUSE_MS: u64 = 50;
const BUFFER_BYTES: usize = 64 * 1024;

/// TCP proxy in front of one address that can simulate a silent network failure.
///
/// While blocked it accepts connections and keeps them open, but forwards no byte.
#[derive(Debug)]
pub struct TcpProxy {
    accept_task: JoinHandle<()>,
    address: SocketAddr,
    is_blocked: Arc<watch::Sender<bool>>,
}

impl TcpProxy {
    /// Listens on `listen` and forwards to `target`; port 0 lets the kernel choose one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let is_blocked = Arc::new(watch::Sender::new(false));
        let accept_task = tokio::spawn(accept_connections(
            listener,
            target,
            Arc::clone(&is_blocked),
        ));
        Ok(Self {
            accept_task,
            address,
            is_blocked,
        })
    }

    /// Address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops or resumes forwarding, in both directions.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.send_replace(is_blocked);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    is_blocked: Arc<watch::Sender<bool>>,
) {
    loop {
        match listener.accept().await {
            Ok((inbound, _)) => {
                tokio::spawn(forward(inbound, target, is_blocked.subscribe()));
            }
            Err(_) => sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

async fn forward(inbound: TcpStream, target: SocketAddr, is_blocked: watch::Receiver<bool>) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    tokio::select! {
        () = copy_bytes(inbound_read, outbound_write, is_blocked.clone()) => {}
        () = copy_bytes(outbound_read, inbound_write, is_blocked) => {}
    }
}

/// Copies one direction until either side closes; holds received bytes back while blocked.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_blocked: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length_bytes @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if is_blocked.wait_for(|is_blocked| !is_blocked).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length_bytes]).await.is_err() {
            return;
        }
    }
}
