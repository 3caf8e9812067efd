use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::io::ByteCountingStream;
use crate::core::FailurePoint;

/// Bytes of the large read buffer; also the largest head of an answer.
const LARGE_BYTES: usize = 16 << 10;

/// Bytes of the small read buffer; also the largest head of an answer.
const SMALL_BYTES: usize = 2 << 10;

/// Most headers of an endpoint's answer.
const HEADERS_MAX: usize = 64;

/// How much is read at once.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReadBuffer {
    /// For bodies of any size.
    Large,
    /// For streams of small pieces, which stay open for long.
    Small,
}

/// One request on a connection of its own, and the answer to it.
///
/// The connection is driven by whoever reads the answer; dropping the exchange closes it.
pub(crate) struct Exchange {
    connection: DrivenConnection,
    response: Response<Incoming>,
}

struct DrivenConnection {
    connection: Pin<Box<Connection<TokioIo<ByteCountingStream>, Full<Bytes>>>>,
    is_done: bool,
}

impl DrivenConnection {
    fn poll(&mut self, cx: &mut Context<'_>) {
        if !self.is_done {
            self.is_done = self.connection.as_mut().poll(cx).is_ready();
        }
    }
}

impl Exchange {
    /// The next piece of the body; none at its whole end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, FailurePoint> {
        poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Forgets the head of the answer, which holds on to a read buffer.
    pub(crate) fn forget_head(&mut self) {
        *self.response.headers_mut() = HeaderMap::new();
    }

    pub(crate) fn response(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Connects, sends the request once and waits for the head of the answer.
    pub(crate) async fn send(
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect: Duration,
        buffer: ReadBuffer,
    ) -> Result<Self, FailurePoint> {
        let stream = timeout(connect, TcpStream::connect(address))
            .await
            .map_err(|_| FailurePoint::Connect)?
            .map_err(|_| FailurePoint::Connect)?;
        stream
            .set_nodelay(true)
            .map_err(|_| FailurePoint::Unwritten)?;
        let stream = ByteCountingStream::new(stream);
        let counts = stream.counts();
        Self::exchange(stream, request, buffer)
            .await
            .map_err(|_| counts.failure_point())
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    async fn exchange(
        stream: ByteCountingStream,
        request: Request<Full<Bytes>>,
        buffer: ReadBuffer,
    ) -> hyper::Result<Self> {
        let mut builder = Builder::new();
        match buffer {
            ReadBuffer::Large => builder.max_buf_size(LARGE_BYTES),
            ReadBuffer::Small => builder.read_buf_exact_size(Some(SMALL_BYTES)),
        };
        let (mut sender, connection) = builder
            .max_headers(HEADERS_MAX)
            .handshake(TokioIo::new(stream))
            .await?;
        let mut connection = DrivenConnection {
            connection: Box::pin(connection),
            is_done: false,
        };
        let mut response = pin!(sender.send_request(request));
        let response = poll_fn(|cx| {
            connection.poll(cx);
            response.as_mut().poll(cx)
        })
        .await?;
        Ok(Self {
            connection,
            response,
        })
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, FailurePoint>> {
        let mut is_driven = false;
        loop {
            if let Poll::Ready(frame) = Pin::new(self.response.body_mut()).poll_frame(cx) {
                match frame.transpose() {
                    Err(_) => return Poll::Ready(Err(FailurePoint::Body)),
                    Ok(None) => return Poll::Ready(Ok(None)),
                    Ok(Some(frame)) => match frame.into_data() {
                        Ok(bytes) => return Poll::Ready(Ok(Some(bytes))),
                        Err(_) => continue,
                    },
                }
            }
            if is_driven {
                return Poll::Pending;
            }
            // Polling the body told the connection that more is wanted.
            self.connection.poll(cx);
            is_driven = true;
        }
    }
}
