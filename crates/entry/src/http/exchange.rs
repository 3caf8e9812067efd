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

/// Size of the large read buffer; also the largest response head.
const LARGE_BUFFER_BYTES: usize = 16 << 10;

/// Size of the small read buffer; also the largest response head.
const SMALL_BUFFER_BYTES: usize = 2 << 10;

/// Most headers of an endpoint's response.
const HEADERS_MAX: usize = 64;

/// Size of the read buffer of a connection to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReadBuffer {
    /// For bodies of any size.
    Large,
    /// For streams of small chunks, which stay open for long.
    Small,
}

/// Response of an endpoint to one request on a connection of its own.
///
/// The connection makes progress only while the response is read; dropping the exchange closes it.
pub(crate) struct Exchange {
    connection: DrivenConnection,
    response: Response<Incoming>,
}

/// Connection that is polled until it closes.
struct DrivenConnection {
    connection: Pin<Box<Connection<TokioIo<ByteCountingStream>, Full<Bytes>>>>,
    is_closed: bool,
}

impl DrivenConnection {
    fn poll(&mut self, cx: &mut Context<'_>) {
        if !self.is_closed {
            self.is_closed = self.connection.as_mut().poll(cx).is_ready();
        }
    }
}

impl Exchange {
    /// The next chunk of the body; none at its end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, FailurePoint> {
        poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Drops the response headers, which keep a read buffer alive.
    pub(crate) fn clear_headers(&mut self) {
        *self.response.headers_mut() = HeaderMap::new();
    }

    pub(crate) fn response(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Connects, sends the request once and waits for the head of the response.
    pub(crate) async fn send(
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
        buffer: ReadBuffer,
    ) -> Result<Self, FailurePoint> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| FailurePoint::Connect)?
            .map_err(|_| FailurePoint::Connect)?;
        stream
            .set_nodelay(true)
            .map_err(|_| FailurePoint::Unwritten)?;
        let stream = ByteCountingStream::new(stream);
        let counts = stream.counts();
        Self::send_request(stream, request, buffer)
            .await
            .map_err(|_| counts.failure_point())
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    async fn send_request(
        stream: ByteCountingStream,
        request: Request<Full<Bytes>>,
        buffer: ReadBuffer,
    ) -> hyper::Result<Self> {
        let mut builder = Builder::new();
        match buffer {
            ReadBuffer::Large => builder.max_buf_size(LARGE_BUFFER_BYTES),
            ReadBuffer::Small => builder.read_buf_exact_size(Some(SMALL_BUFFER_BYTES)),
        };
        let (mut sender, connection) = builder
            .max_headers(HEADERS_MAX)
            .handshake(TokioIo::new(stream))
            .await?;
        let mut connection = DrivenConnection {
            connection: Box::pin(connection),
            is_closed: false,
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
        let mut was_polled = false;
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
            if was_polled {
                return Poll::Pending;
            }
            // Polling the body requested more data from the connection.
            self.connection.poll(cx);
            was_polled = true;
        }
    }
}
