use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes received and sent over a group of connections.
#[derive(Debug, Default)]
pub struct Traffic {
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Traffic {
    /// Bytes received so far.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Bytes sent so far.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

/// A TCP stream that adds its bytes to a shared [`Traffic`].
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before_bytes = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read_bytes = buffer.filled().len() - before_bytes;
        self.traffic
            .received_bytes
            .fetch_add(read_bytes as u64, Ordering::Relaxed);
        poll
    }
}

impl AsyncWrite for CountedStream {
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buffer);
        if let Poll::Ready(Ok(written_bytes)) = poll {
            self.traffic
                .sent_bytes
                .fetch_add(written_bytes as u64, Ordering::Relaxed);
        }
        poll
    }
}
