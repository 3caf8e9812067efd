use names::{EndpointId, PermitId, RequestId};

use crate::forecast::Forecast;
use crate::work::Work;
use crate::{Demand, PermitEnd};

/// A running request.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Cancellation was asked for; the request waits again once it is confirmed.
    pub(crate) cancelling: bool,
    /// Engine time charged so far.
    pub(crate) charged_us: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) forecast: Forecast,
    pub(crate) generated_tokens: u32,
    pub(crate) granted_us: u64,
    /// Memory that the permit is known to use.
    pub(crate) known_tokens: u64,
    /// Prompt tokens that the endpoint was not expected to have cached.
    pub(crate) prefill_tokens: u64,
    pub(crate) request: RequestId,
    /// Tokens taken from the row's rate limit.
    pub(crate) taken_tokens: f64,
    /// Engine time really used.
    pub(crate) used_us: f64,
    /// The caller is gone: the request never waits again.
    pub(crate) withdrawn: bool,
    pub(crate) work: Work,
}

impl Permit {
    /// Whether the request waits again after this end: only if it was cancelled as asked, and
    /// nothing of it was delivered.
    pub(crate) fn waits_again(&self, end: PermitEnd) -> bool {
        let undelivered = self.generated_tokens == 0 && end == PermitEnd::Cancelled;
        self.cancelling && undelivered && !self.withdrawn
    }
}

/// A permit as an entry reports it to a new owner.
#[derive(Debug, Clone)]
pub struct ReportedPermit {
    /// What the request asked for.
    pub demand: Demand,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// The permit.
    pub permit: PermitId,
    /// The request.
    pub request: RequestId,
}

/// A permit that an owner has granted and that has not ended.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct ActivePermit {
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Tokens generated so far, as far as reported.
    pub generated_tokens: u32,
    /// When it was granted or adopted.
    pub granted_us: u64,
    /// The permit.
    pub permit: PermitId,
    /// The request.
    pub request: RequestId,
}
