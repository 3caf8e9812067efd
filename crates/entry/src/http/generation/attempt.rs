//! One attempt of a generation request: its permit and its I/O with the engine.

use std::future::{pending, poll_fn};
use std::mem;
use std::pin::{Pin, pin};
use std::task::Poll;

use futures::future::BoxFuture;
use names::GenerationId;
use tokio::select;
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::DriverInput;
use crate::core::GenerationEvent;
use crate::dependencies::{Permit, Refusal};
use crate::http::engine_stream::EngineStream;

/// One attempt of a generation request, with its I/O.
#[derive(Default)]
pub(super) struct Attempt {
    /// None until a permit is granted.
    pub(super) generation: Option<GenerationId>,
    pub(super) pending_operation: PendingOperation,
    pub(super) permit: Option<Box<dyn Permit>>,
    /// Tokens received with the permit.
    pub(super) received_tokens: u32,
    pub(super) revocation: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    /// Silent stream that stays open while the generation is resumed on another connection.
    pub(super) silent_stream: Option<Box<EngineStream>>,
}

/// I/O that an attempt waits for.
#[derive(Default)]
pub(super) enum PendingOperation {
    AcquirePermit(BoxFuture<'static, Result<Box<dyn Permit>, Refusal>>),
    #[default]
    None,
    OpenStream(BoxFuture<'static, Result<Box<EngineStream>, GenerationEvent>>),
    ReadStream(Box<EngineStream>),
}

impl Attempt {
    /// Gives up the resume and goes on with the silent stream.
    pub(super) fn abandon_resume(&mut self) {
        self.pending_operation = match self.silent_stream.take() {
            Some(stream) => PendingOperation::ReadStream(stream),
            None => PendingOperation::None,
        };
    }

    pub(super) fn close_connections(&mut self) {
        self.pending_operation = PendingOperation::None;
        self.silent_stream = None;
    }

    /// Waits for a revocation of the permit or the next input of the engine. The future may be dropped
    /// and requested again.
    pub(super) async fn next_input(&mut self) -> DriverInput {
        let Self {
            pending_operation,
            revocation,
            silent_stream,
            ..
        } = self;
        let revocation = async {
            match revocation {
                Some(revocation) => revocation.as_mut().await,
                None => pending().await,
            }
        };
        select! {
            biased;
            () = revocation => DriverInput::PermitRevoked,
            input = next_io_input(pending_operation, silent_stream) => input,
        }
    }

    /// Whether a stream is open, be it silent.
    pub(super) fn has_stream(&self) -> bool {
        let is_read = matches!(self.pending_operation, PendingOperation::ReadStream(_));
        is_read || self.silent_stream.is_some()
    }

    /// Opens a stream; one that is open stays so.
    pub(super) fn open_stream(
        &mut self,
        stream: BoxFuture<'static, Result<Box<EngineStream>, GenerationEvent>>,
    ) {
        let operation = PendingOperation::OpenStream(stream);
        if let PendingOperation::ReadStream(stream) =
            mem::replace(&mut self.pending_operation, operation)
        {
            self.silent_stream = Some(stream);
        }
    }

    /// Takes the stream that chunks are read from, until it is put back.
    pub(super) fn take_stream(&mut self) -> Option<Box<EngineStream>> {
        if self.silent_stream.is_some() {
            return self.silent_stream.take();
        }
        match mem::take(&mut self.pending_operation) {
            PendingOperation::ReadStream(stream) => Some(stream),
            operation => {
                self.pending_operation = operation;
                None
            }
        }
    }

    /// Puts back a stream; it is silent if the generation is being resumed.
    pub(super) fn put_back_stream(&mut self, stream: Box<EngineStream>) {
        if matches!(self.pending_operation, PendingOperation::OpenStream(_)) {
            self.silent_stream = Some(stream);
        } else {
            self.pending_operation = PendingOperation::ReadStream(stream);
        }
    }

    /// Waits for the next input of any of the attempts.
    pub(super) async fn next_input_of_any(attempts: &mut [Self]) -> DriverInput {
        poll_fn(|cx| {
            for attempt in &mut *attempts {
                let input = pin!(next_io_input(
                    &mut attempt.pending_operation,
                    &mut attempt.silent_stream
                ));
                if let Poll::Ready(input) = input.poll(cx) {
                    return Poll::Ready(input);
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl PendingOperation {
    async fn next_input(&mut self) -> DriverInput {
        match self {
            Self::AcquirePermit(permit) => DriverInput::Permit(permit.await),
            Self::None => pending().await,
            Self::OpenStream(stream) => DriverInput::StreamOpened(stream.await),
            Self::ReadStream(stream) => next_chunk(stream).await,
        }
    }
}

/// Waits for the next input of an operation or of a silent stream beside it.
async fn next_io_input(
    pending_operation: &mut PendingOperation,
    silent_stream: &mut Option<Box<EngineStream>>,
) -> DriverInput {
    match silent_stream {
        Some(silent_stream) => select! {
            biased;
            input = pending_operation.next_input() => input,
            input = next_chunk(silent_stream) => input,
        },
        None => pending_operation.next_input().await,
    }
}

async fn next_chunk(stream: &mut EngineStream) -> DriverInput {
    DriverInput::Chunk {
        chunk: stream.next_chunk().await,
        generation: stream.generation,
    }
}
