use std::net::SocketAddr;

use async_trait::async_trait;
use names::{CustomerName, EndpointName, KindName, ModelName, RegionName, ServiceName};
use tokio_util::sync::CancellationToken;

/// How the use of a permit ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum PermitEnd {
    /// The caller went away or the generation was cancelled.
    Cancelled,
    /// The generation or call ended by itself.
    Completed,
    /// The endpoint or its link failed.
    Failed,
    /// The endpoint said that it did not run the request.
    Refused,
}

/// Leave to run one generation or call on one endpoint.
///
/// Dropping a permit that was not finished releases it as cancelled.
pub trait Permit: Send + Sync {
    /// Where the endpoint listens.
    fn address(&self) -> SocketAddr;

    /// Name of the endpoint.
    fn endpoint(&self) -> &EndpointName;

    /// Ends the use of the permit after `tokens` generated tokens.
    fn finish(self: Box<Self>, end: PermitEnd, tokens: u32);

    /// Priority towards the engine; greater goes first.
    fn priority(&self) -> i32;

    /// Reports the tokens generated so far; cheap, the implementation batches.
    fn report_progress(&mut self, tokens: u32);

    /// Region of the endpoint, where known.
    fn region(&self) -> Option<&RegionName> {
        None
    }

    /// Is cancelled when the owner takes back the permit; honoured while nothing was delivered.
    fn revocation(&self) -> Option<CancellationToken> {
        None
    }
}

/// What a permit is asked for.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PermitRequest {
    /// Who asks.
    pub customer: CustomerName,
    /// Endpoints on which this request failed before, sorted; to be avoided where others are ready.
    pub failed_endpoints: Vec<EndpointName>,
    /// Kind of work.
    pub kind: KindName,
    /// Most tokens that the generation may have; 0 for plain services.
    pub max_tokens: u32,
    /// Hashes of the prompt's whole blocks; each covers all text up to its end.
    pub prefix_hashes: Vec<u64>,
    /// Estimated length of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Region of this entry.
    pub region: RegionName,
    /// Model or service.
    pub target: Target,
    /// Time left until the deadline.
    pub timeout_ms: u64,
    /// Goes first inside its own row's share.
    pub urgent: bool,
}

/// Grants permits.
#[async_trait]
pub trait PermitSource: Send + Sync {
    /// Waits in the owner's queue; dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// The request is refused and did not run.
    async fn acquire(&self, request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal>;
}

/// A request does not run.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a repeat may succeed.
    pub retry_after_ms: u64,
}

/// Why a request does not run.
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
    /// No owner of the endpoints answers.
    NoOwner,
    /// The predicted wait is longer than the row allows.
    Overload,
    /// The row's queue is full.
    QueueFull,
    /// The customer's or endpoint's budget of retries is spent.
    RetryBudget,
    /// The request can never fit the memory of an endpoint.
    TooLarge,
    /// The entry serves as many requests as its limit allows.
    TooManyRequests,
    /// The table has no row for the customer and kind.
    UnknownRow,
    /// The request waited as long as the row or its deadline allows.
    WaitedTooLong,
}

impl RefusalReason {
    /// Text for callers, logs and metrics.
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

/// What runs the request.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Target {
    /// A replica of a model.
    Model(ModelName),
    /// An endpoint of a plain service.
    Service(ServiceName),
}
