use names::{EndpointId, PermitId, RequestId};

use crate::forecast::Forecast;
use crate::request_spec::RequestSpec;
use crate::{Demand, PermitEnd};

/// State of a permit: a granted request that has not ended.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Tokens taken from the row's rate limit.
    pub(crate) charged_tokens: f64,
    /// Engine time charged to the row so far.
    pub(crate) charged_us: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) forecast: Forecast,
    pub(crate) generated_tokens: u32,
    pub(crate) granted_us: u64,
    /// Whether a cancellation is in flight; the request is queued again once it is confirmed.
    pub(crate) is_cancelling: bool,
    /// Whether the client disconnected; the request is not queued again.
    pub(crate) is_withdrawn: bool,
    /// Memory that the permit uses now.
    pub(crate) occupied_tokens: u64,
    /// Prompt tokens that the endpoint was not expected to have in its prefix cache.
    pub(crate) prefill_tokens: u64,
    pub(crate) request: RequestId,
    pub(crate) spec: RequestSpec,
    /// Engine time used so far.
    pub(crate) used_us: f64,
}

impl Permit {
    /// Whether the request is queued again after the permit ends: only if the dispatcher cancelled
    /// it and no token was delivered.
    pub(crate) fn is_requeued_after(&self, end: PermitEnd) -> bool {
        let is_undelivered = self.generated_tokens == 0 && end == PermitEnd::Cancelled;
        self.is_cancelling && is_undelivered && !self.is_withdrawn
    }
}

/// A running permit as an entry reports it to a new owner of the shard.
#[derive(Debug, Clone)]
pub struct ReportedPermit {
    /// Requirements of the request.
    pub demand: Demand,
    /// Endpoint that the request runs on.
    pub endpoint: EndpointId,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitId,
    /// The request.
    pub request: RequestId,
}

/// A granted or adopted permit that has not ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct ActivePermit {
    /// Endpoint that the request runs on.
    pub endpoint: EndpointId,
    /// Tokens generated as of the last report.
    pub generated_tokens: u32,
    /// Time of the grant or adoption.
    pub granted_us: u64,
    /// The permit.
    pub permit: PermitId,
    /// The request.
    pub request: RequestId,
}
