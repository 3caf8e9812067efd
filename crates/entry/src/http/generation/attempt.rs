//! One attempt of a generation request: its permit and its I/O with the engine.

use std::future::{pending, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

use bytes::Bytes;
use futures::future::BoxFuture;
use names::GenerationId;
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::DriverInput;
use crate::core::{FailurePoint, GenerationEvent};
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
    /// Waits for the next input of any of the attempts.
    pub(super) async fn next_input_of_any(attempts: &mut [Self]) -> DriverInput {
        poll_fn(|cx| {
            for attempt in &mut *attempts {
                let input = pin!(attempt.pending_operation.next_input());
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
    /// Waits for the next input. The future may be dropped and requested again.
    pub(super) async fn next_input(&mut self) -> DriverInput {
        match self {
            Self::AcquirePermit(permit) => DriverInput::Permit(permit.await),
            Self::None => pending().await,
            Self::OpenStream(stream) => DriverInput::StreamOpened(stream.await),
            Self::ReadStream(stream) => {
                let chunk: Result<Bytes, FailurePoint> = stream.next_chunk().await;
                DriverInput::Chunk {
                    chunk,
                    generation: stream.generation,
                }
            }
        }
    }
}
