use names::{EndpointId, PermitId, RequestId};
use serde::{Deserialize, Serialize};

/// An action that the shard's owner must carry out.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Action {
    /// Cancel a permit that has generated no token. Its request is queued again.
    Cancel {
        /// The permit to cancel.
        permit: PermitId,
    },
    /// Grant a request a permit to run.
    Grant {
        /// The endpoint to run it on.
        endpoint: EndpointId,
        /// The new permit.
        permit: PermitId,
        /// Priority on the engine; greater is served first.
        priority: i32,
        /// The request that may run.
        request: RequestId,
    },
    /// Notify the client that the request did not run.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// The refused request.
        request: RequestId,
        /// Delay after which a retry may succeed.
        retry_after_ms: u64,
    },
}

/// Reason for refusing a request; encoded by variant position.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RefusalReason {
    /// The predicted wait is longer than the row allows.
    Overload,
    /// No ready endpoint serves the model.
    NoEndpoint,
    /// The row's queue is full.
    QueueFull,
    /// The prompt exceeds the memory of every ready endpoint.
    TooLarge,
    /// The table has no row for the customer and kind.
    UnknownRow,
    /// The request reached the row's longest wait or its own deadline.
    WaitedTooLong,
}
