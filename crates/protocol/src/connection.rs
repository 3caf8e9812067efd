use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarpc::serde_transport::{Transport, new};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response, client};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Error;
use crate::counted_stream::{CountedStream, Traffic};
use crate::handshake::{FleetKey, Side};
use crate::inner::{InnerClient, InnerRequest, InnerResponse};

/// Timeout of the connection attempt, and again of the handshake.
const OPEN_TIMEOUT_MS: u64 = 1_000;

/// Largest frame; it fits a snapshot of the whole table.
const FRAME_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Transport of an authenticated connection on the server side.
pub type ServerTransport = Transport<
    CountedStream,
    ClientMessage<InnerRequest>,
    Response<InnerResponse>,
    Bincode<ClientMessage<InnerRequest>, Response<InnerResponse>>,
>;

/// Accepts connections from other instances.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    key: FleetKey,
    socket: TcpListener,
    traffic: Arc<Traffic>,
}

impl Listener {
    /// Binds to `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        key: &FleetKey,
        traffic: &Arc<Traffic>,
    ) -> Result<Self, Error> {
        let listen_error = |source| Error::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        Ok(Self {
            address,
            key: key.clone(),
            socket: listener,
            traffic: Arc::clone(traffic),
        })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the next connection, or returns `None` if that fails.
    ///
    /// The handshake is left to [`PendingConnection::authenticate`].
    pub async fn accept(&self) -> Option<PendingConnection> {
        let (stream, address) = self.socket.accept().await.ok()?;
        Some(PendingConnection {
            address,
            key: self.key.clone(),
            stream,
            traffic: Arc::clone(&self.traffic),
        })
    }
}

/// An accepted connection before its handshake.
#[derive(Debug)]
pub struct PendingConnection {
    address: SocketAddr,
    key: FleetKey,
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl PendingConnection {
    /// Runs the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not know the key, or does not answer in time.
    pub async fn authenticate(self) -> Result<ServerTransport, Error> {
        let stream = authenticate(
            self.stream,
            self.address,
            &self.key,
            Side::Server,
            &self.traffic,
        )
        .await?;
        Ok(new(frame_codec().new_framed(stream), Bincode::default()))
    }
}

/// Connects to the instance at `address`.
///
/// # Errors
///
/// Fails if the instance cannot be reached, does not know the key, or does not answer in time.
pub async fn connect(
    address: SocketAddr,
    key: &FleetKey,
    traffic: &Arc<Traffic>,
) -> Result<InnerClient, Error> {
    let stream = with_timeout(address, TcpStream::connect(address))
        .await?
        .map_err(|source| Error::Connect { address, source })?;
    let stream = authenticate(stream, address, key, Side::Client, traffic).await?;
    let transport = new(frame_codec().new_framed(stream), Bincode::default());
    Ok(InnerClient::new(client::Config::default(), transport).spawn())
}

fn frame_codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_BYTES_MAX);
    builder
}

async fn with_timeout<F: Future>(address: SocketAddr, future: F) -> Result<F::Output, Error> {
    timeout(Duration::from_millis(OPEN_TIMEOUT_MS), future)
        .await
        .map_err(|_| Error::Timeout {
            address,
            timeout_ms: OPEN_TIMEOUT_MS,
        })
}

async fn authenticate(
    stream: TcpStream,
    address: SocketAddr,
    key: &FleetKey,
    side: Side,
    traffic: &Arc<Traffic>,
) -> Result<CountedStream, Error> {
    let connect_error = |source| Error::Connect { address, source };
    stream.set_nodelay(true).map_err(connect_error)?;
    let mut stream = CountedStream::new(stream, Arc::clone(traffic));
    let is_authentic = with_timeout(address, key.authenticate(&mut stream, side))
        .await?
        .map_err(connect_error)?;
    if is_authentic {
        Ok(stream)
    } else {
        Err(Error::Authentication { address })
    }
}
