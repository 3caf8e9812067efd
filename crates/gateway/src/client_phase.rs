//! Phases of a client connection: idle, receiving a request head, or answering a request.
//!
//! hyper can bound the time until a request head is complete, but the bound is fixed when a
//! connection is accepted, and it spans the idle time before the head. Limits change with
//! documents and differ for the two, so the phases are observed here: the stream reports the first
//! byte of a head, and a guard within the response body reports the end of a response. The reading half of
//! the stream also tells that the client has left during an answer, which hyper notices only if nothing
//! was sent behind the request.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use catalog::Limits;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway_state::ActiveCatalog;
use crate::response::{IncompleteBody, ResponseBody};

/// Interval at which a connection with unread bytes is checked for the close behind them; short beside
/// the half second in which the endpoint of a client that left has to be released.
const CLOSE_POLL_INTERVAL_MS: u64 = 100;

/// What a client connection is used for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Activity {
    /// A request was received and its response is incomplete.
    Answering,
    /// No request since the accept, or since the last byte of the last response.
    Idle,
    /// Part of a request head was received.
    ReadingHead,
}

/// Time for which a client connection is used for one activity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientPhase {
    activity: Activity,
    head_timeout_ms: u64,
    idle_timeout_ms: u64,
    since: Instant,
}

impl ClientPhase {
    fn new(activity: Activity, limits: &Limits) -> Self {
        Self {
            activity,
            head_timeout_ms: limits.head_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
            since: Instant::now(),
        }
    }

    /// Applies new limits where they are longer. A client that became idle under the longer limit
    /// may still rely on it, so shorter ones wait for the next phase.
    fn extend_limits(&mut self, limits: &Limits) {
        self.head_timeout_ms = self.head_timeout_ms.max(limits.head_timeout_ms);
        self.idle_timeout_ms = self.idle_timeout_ms.max(limits.idle_timeout_ms);
    }

    /// Time at which the connection is closed if it stays in this phase.
    fn end(&self) -> Option<Instant> {
        let limit_ms = match self.activity {
            Activity::Answering => return None,
            Activity::Idle => self.idle_timeout_ms,
            // A close in the middle of a head loses a request, so the longer limit applies.
            Activity::ReadingHead => self.head_timeout_ms.max(self.idle_timeout_ms),
        };
        self.since.checked_add(Duration::from_millis(limit_ms))
    }

    pub(crate) fn is_reading_head(&self) -> bool {
        self.activity == Activity::ReadingHead
    }
}

/// Phase of one connection, as reported by its stream and its response bodies.
#[derive(Clone)]
pub(crate) struct PhaseObserver {
    active_catalog: Arc<ActiveCatalog>,
    phase: watch::Sender<ClientPhase>,
}

impl PhaseObserver {
    /// Returns the observer of a connection that has just been accepted.
    pub(crate) fn new(active_catalog: &Arc<ActiveCatalog>) -> Self {
        let phase = ClientPhase::new(Activity::Idle, &active_catalog.limits());
        Self {
            active_catalog: Arc::clone(active_catalog),
            phase: watch::channel(phase).0,
        }
    }

    /// Starts the answer to a request; it ends when the guard is dropped.
    pub(crate) fn start_answer(&self) -> AnswerGuard {
        self.start(Activity::Answering);
        AnswerGuard(self.clone())
    }

    /// Waits until the connection has been in one phase for longer than the limits allow, and
    /// returns the phase.
    pub(crate) async fn expired(&self) -> ClientPhase {
        let mut catalogs = self.active_catalog.subscribe();
        let mut phases = self.phase.subscribe();
        loop {
            self.extend_limits();
            let phase = *phases.borrow_and_update();
            // Neither change can fail, since the observer holds both senders.
            tokio::select! {
                biased;
                _ = catalogs.changed() => {}
                _ = phases.changed() => {}
                () = sleep_until_some(phase.end()) => return phase,
            }
        }
    }

    /// Waits until a request is answered.
    async fn answering(&self) {
        let mut phases = self.phase.subscribe();
        let is_answering = |phase: &ClientPhase| phase.activity == Activity::Answering;
        // The observer holds the sender, so the wait can't fail.
        let _ = phases.wait_for(is_answering).await;
    }

    /// Waits until no head is received in part.
    pub(crate) async fn head_received(&self) {
        let mut phases = self.phase.subscribe();
        // The observer holds the sender, so the wait can't fail.
        let _ = phases.wait_for(|phase| !phase.is_reading_head()).await;
    }

    fn start(&self, activity: Activity) {
        let limits = self.active_catalog.limits();
        self.phase.send_replace(ClientPhase::new(activity, &limits));
    }

    fn extend_limits(&self) {
        let limits = self.active_catalog.limits();
        self.phase.send_modify(|phase| phase.extend_limits(&limits));
    }

    fn record_read(&self) {
        if self.phase.borrow().activity == Activity::Idle {
            self.start(Activity::ReadingHead);
        }
    }

    /// Extends the idle phase, as hyper drops the response body before its last bytes are written.
    fn record_write(&self) {
        self.phase.send_if_modified(|phase| {
            let is_idle = phase.activity == Activity::Idle;
            if is_idle {
                phase.since = Instant::now();
            }
            is_idle
        });
    }
}

/// Reading half of a client's connection, which hyper and the observer of the connection share.
#[derive(Clone)]
pub(crate) struct ClientReader(Arc<Mutex<OwnedReadHalf>>);

impl ClientReader {
    /// Waits until the client has closed its connection while a request is answered. hyper does not
    /// notice that if bytes of another request, or a blank line, came before the close.
    pub(crate) async fn client_left(&self, observer: &PhaseObserver) {
        loop {
            observer.answering().await;
            // Fails if the connection is lost, which the next read or write reports.
            let readable = poll_fn(|context| self.lock().as_ref().poll_read_ready(context)).await;
            if readable.is_err() || self.is_closed_by_client() {
                return;
            }
            // Unread bytes keep the connection readable.
            sleep(Duration::from_millis(CLOSE_POLL_INTERVAL_MS)).await;
        }
    }

    fn is_closed_by_client(&self) -> bool {
        let reader = self.lock();
        let ready = reader.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }

    fn lock(&self) -> MutexGuard<'_, OwnedReadHalf> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn sleep_until_some(end: Option<Instant>) {
    match end {
        Some(end) => sleep_until(end).await,
        None => std::future::pending().await,
    }
}

/// Makes the connection idle when dropped.
pub(crate) struct AnswerGuard(PhaseObserver);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.start(Activity::Idle);
    }
}

impl AnswerGuard {
    /// Keeps the guard until the response is complete.
    pub(crate) fn attach_to(self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        response.map(|body| BodyExt::boxed(GuardedBody { body, _guard: self }))
    }
}

struct GuardedBody {
    body: ResponseBody,
    _guard: AnswerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a client that reports reads and writes to the observer.
pub(crate) struct ObservedStream {
    observer: PhaseObserver,
    reader: ClientReader,
    writer: OwnedWriteHalf,
}

impl ObservedStream {
    /// Returns the stream, and its reading half for [`ClientReader::client_left`].
    pub(crate) fn new(stream: TcpStream, observer: PhaseObserver) -> (Self, ClientReader) {
        let (reader, writer) = stream.into_split();
        let reader = ClientReader(Arc::new(Mutex::new(reader)));
        let stream = Self {
            observer,
            reader: reader.clone(),
            writer,
        };
        (stream, reader)
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut *self.reader.lock()).poll_read(context, buffer))?;
        if buffer.filled().len() > filled {
            self.observer.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.writer).poll_write(context, bytes))?;
        self.observer.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.writer).poll_write_vectored(context, slices))?;
        self.observer.record_write();
        Poll::Ready(Ok(written))
    }
}
