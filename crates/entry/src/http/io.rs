//! TCP streams that count the bytes sent, or close the connection of a client that does not read.

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

/// Bytes read from and written to a connection to an endpoint.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    read_bytes: AtomicU64,
    /// Whether the kernel accepted all bytes of the last write.
    is_write_complete: AtomicBool,
    written_bytes: AtomicU64,
}

impl ByteCounts {
    /// Failure point of an attempt that ended without a complete response head.
    pub(crate) fn failure_point(&self) -> FailurePoint {
        if self.read_bytes.load(Ordering::Relaxed) > 0 {
            return FailurePoint::Head;
        }
        if self.written_bytes.load(Ordering::Relaxed) == 0 {
            return FailurePoint::Unwritten;
        }
        if self.is_write_complete.load(Ordering::Relaxed) {
            FailurePoint::Written
        } else {
            FailurePoint::PartlyWritten
        }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>, requested_bytes: usize) {
        let accepted_bytes = match result {
            Poll::Ready(Ok(accepted_bytes)) => *accepted_bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.written_bytes
            .fetch_add(accepted_bytes as u64, Ordering::Relaxed);
        self.is_write_complete
            .store(accepted_bytes == requested_bytes, Ordering::Relaxed);
    }
}

/// Connection to an endpoint that counts the bytes read and written.
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
        self.counts.record_write(&result, bytes.len());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        let requested_bytes = slices.iter().map(|slice| slice.len()).sum();
        self.counts.record_write(&result, requested_bytes);
        result
    }
}

/// Connection to a client that fails if a write blocks longer than `write_timeout`.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    stream: TcpStream,
    write_timeout: Duration,
    /// Runs while a write is blocked.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            stream,
            write_timeout,
            write_timer: None,
        }
    }

    fn check_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let write_timeout = self.write_timeout;
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        match write_timer.as_mut().poll(cx) {
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
        self.check_write_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_write_timeout(cx, result)
    }
}
