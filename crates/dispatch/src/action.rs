use names::{EndpointId, PermitId, RequestId};
use serde::{Deserialize, Serialize};

/// What the owner must do.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Action {
    /// Cancel a permit that has delivered nothing, and queue its request again.
    Cancel {
        /// The permit that ends.
        permit: PermitId,
    },
    /// Let a request run.
    Grant {
        /// Where it runs.
        endpoint: EndpointId,
        /// The new permit.
        permit: PermitId,
        /// Priority towards the engine; greater goes first.
        priority: i32,
        /// The request that asked.
        request: RequestId,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// The request that asked.
        request: RequestId,
        /// When a repeat may succeed.
        retry_after_ms: u64,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RefusalReason {
    /// The predicted wait is longer than the row allows.
    Overload,
    /// No ready endpoint serves the model.
    NoEndpoint,
    /// The row's queue is full.
    QueueFull,
    /// The request can never fit the memory of an endpoint.
    TooLarge,
    /// The table has no row for the customer and kind.
    UnknownRow,
    /// The request waited as long as the row allows.
    WaitedTooLong,
}
