use std::net::SocketAddr;

use async_trait::async_trait;
use names::{CustomerName, EndpointName, KindName, ModelName, RegionName, ServiceName};
use tokio_util::sync::CancellationToken;

/// Result of the use of a permit, reported when it is released.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum PermitEnd {
    /// The client disconnected or the generation was cancelled.
    Cancelled,
    /// The generation or call completed.
    Completed,
    /// The endpoint or the connection to it failed.
    Failed,
    /// The endpoint said that it did not run the request.
    Refused,
}

/// Permission to run one generation or call on one endpoint.
///
/// Dropping a permit without [`finish`](Self::finish) releases it as cancelled.
pub trait Permit: Send + Sync {
    /// Address on which the endpoint listens.
    fn address(&self) -> SocketAddr;

    /// Name of the endpoint that the permit is for.
    fn endpoint(&self) -> &EndpointName;

    /// Releases the permit after `tokens` generated tokens.
    fn finish(self: Box<Self>, end: PermitEnd, tokens: u32);

    /// Priority in the engine's scheduler; greater goes first.
    fn priority(&self) -> i32;

    /// Region of the endpoint, if known.
    fn region(&self) -> Option<&RegionName> {
        None
    }

    /// Reports the tokens generated so far. Called often: the implementation batches the reports.
    fn report_progress(&mut self, tokens: u32);

    /// Token that is cancelled when the shard owner revokes the permit. The permit is then released
    /// once another one is in use. A revocation is ignored once a token was received.
    fn revocation(&self) -> Option<CancellationToken> {
        None
    }
}

/// Request for a permit.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PermitRequest {
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Endpoints on which this request failed before, sorted; avoided if others are ready.
    pub failed_endpoints: Vec<EndpointName>,
    /// Kind of work.
    pub kind: KindName,
    /// Limit on generated tokens; 0 for plain services.
    pub max_tokens: u32,
    /// Hashes of the prompt's full blocks; each covers the prompt up to the end of its block.
    pub prefix_hashes: Vec<u64>,
    /// Estimated length of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Region of the entry that sends the request.
    pub region: RegionName,
    /// Model or plain service that the request addresses.
    pub target: Target,
    /// Time left until the deadline.
    pub timeout_ms: u64,
    /// Whether the request precedes other requests of its own row.
    pub urgent: bool,
}

/// Grants permits to use endpoints.
#[async_trait]
pub trait PermitSource: Send + Sync {
    /// Waits in the shard owner's queue for a permit; dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// The request is refused and did not run.
    async fn acquire(&self, request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal>;
}

/// Refusal of a request that has not run.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after_ms: u64,
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The entry is draining.
    Draining,
    /// No ready endpoint serves the model or service.
    NoEndpoint,
    /// The endpoint said that it did not run the request.
    EndpointRefused,
    /// The instance holds no live configuration lease.
    NoLease,
    /// No owner of the endpoints' shards answers.
    NoOwner,
    /// The predicted wait is longer than the row allows.
    Overload,
    /// The row's queue is full.
    QueueFull,
    /// The retry budget of the customer or the endpoint is empty.
    RetryBudget,
    /// The request needs more memory than any endpoint has.
    TooLarge,
    /// The entry's limit on concurrent requests is reached.
    TooManyRequests,
    /// The table has no row for the customer and kind.
    UnknownRow,
    /// The request waited as long as the row or its deadline allows.
    WaitedTooLong,
}

impl RefusalReason {
    /// Text for problem documents, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::EndpointRefused => "endpoint-refused",
            Self::NoEndpoint => "no-endpoint",
            Self::NoLease => "no-lease",
            Self::NoOwner => "no-owner",
            Self::Overload => "overload",
            Self::QueueFull => "queue-full",
            Self::RetryBudget => "retry-budget",
            Self::TooLarge => "too-large",
            Self::TooManyRequests => "too-many-requests",
            Self::UnknownRow => "unknown-row",
            Self::WaitedTooLong => "waited-too-long",
        }
    }
}

/// Name of the model or plain service that a request addresses.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Target {
    /// A model that generates tokens.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}
