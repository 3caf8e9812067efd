use names::{EndpointName, RequestId};
use protocol::{AcquireRequest, ProgressReport};
use session::Announcement;

use super::waiting_requests::AnswerSender;

/// Asks for a permit.
pub(crate) struct Acquire {
    pub(crate) answer: AnswerSender,
    pub(crate) request: AcquireRequest,
}

/// Hands in an endpoint's announcement.
pub(crate) struct Announce {
    pub(crate) announcement: Announcement,
    pub(crate) endpoint: EndpointName,
}

/// Asks for the endpoints under lease.
pub(crate) struct ListEndpoints;

/// Hands in an instance's report of its permits.
pub(crate) struct ReportProgress(pub(crate) ProgressReport);

/// Says that the published state has changed.
pub(crate) struct StateChanged;

/// Wakes the owner at a time that it asked for.
pub(crate) struct Wake;

/// Takes a request back.
pub(crate) struct WithdrawRequest {
    pub(crate) request: RequestId,
}
