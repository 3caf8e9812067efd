//! Streams that count what the kernel took, or cut off a peer that does not read.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::core::FailurePoint;

/// What passed through a connection to an endpoint.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    read_bytes: AtomicU64,
    /// Whether the kernel took all that the last write offered.
    write_whole: AtomicBool,
    written_bytes: AtomicU64,
}

impl ByteCounts {
    /// Where an attempt stands that has no head of an answer yet.
    pub(crate) fn failure_point(&self) -> FailurePoint {
        if self.read_bytes.load(Ordering::Relaxed) > 0 {
            return FailurePoint::Head;
        }
        if self.written_bytes.load(Ordering::Relaxed) == 0 {
            return FailurePoint::Unwritten;
        }
        if self.write_whole.load(Ordering::Relaxed) {
            FailurePoint::Written
        } else {
            FailurePoint::PartlyWritten
        }
    }

    fn written(&self, result: &Poll<io::Result<usize>>, offered_bytes: usize) {
        let taken_bytes = match result {
            Poll::Ready(Ok(taken_bytes)) => *taken_bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.written_bytes
            .fetch_add(taken_bytes as u64, Ordering::Relaxed);
        self.write_whole
            .store(taken_bytes == offered_bytes, Ordering::Relaxed);
    }
}

/// Connection to an endpoint that counts its bytes.
#[derive(Debug)]
pub(crate) struct ByteCountingStream {
    counts: Arc<ByteCounts>,
    stream: TcpStream,
}

impl ByteCountingStream {
    pub(crate) fn counts(&self) -> Arc<ByteCounts> {
        Arc::clone(&self.counts)
    }

    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            counts: Arc::default(),
            stream,
        }
    }
}

impl AsyncRead for ByteCountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read_bytes = buffer.filled().len() - before;
        self.counts
            .read_bytes
            .fetch_add(read_bytes as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for ByteCountingStream {
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.counts.written(&result, bytes.len());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        let offered_bytes = slices.iter().map(|slice| slice.len()).sum();
        self.counts.written(&result, offered_bytes);
        result
    }
}

/// Connection to a caller that fails once the caller takes no byte for too long.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    blocked: Option<Pin<Box<Sleep>>>,
    idle: Duration,
    stream: TcpStream,
}

impl WriteTimeoutStream {
    pub(crate) fn new(stream: TcpStream, idle: Duration) -> Self {
        Self {
            blocked: None,
            idle,
            stream,
        }
    }

    fn guard(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.blocked = None;
            return result;
        }
        let idle = self.idle;
        let blocked = self.blocked.get_or_insert_with(|| Box::pin(sleep(idle)));
        match blocked.as_mut().poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.guard(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.guard(cx, result)
    }
}
