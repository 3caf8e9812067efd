use names::{EndpointName, RequestId};
use protocol::{AcquireRequest, ProgressReport};
use session::Announcement;

use super::waiting_requests::AnswerSender;

/// Requests a permit.
pub(crate) struct Acquire {
    pub(crate) answer: AnswerSender,
    pub(crate) request: AcquireRequest,
}

/// Announcement of an endpoint.
pub(crate) struct Announce {
    pub(crate) announcement: Announcement,
    pub(crate) endpoint: EndpointName,
}

/// Requests the endpoints under lease.
pub(crate) struct ListEndpoints;

/// Report of an instance about its permits.
pub(crate) struct ReportProgress(pub(crate) ProgressReport);

/// Notifies the owner of a change of the published state.
pub(crate) struct StateChanged;

/// Wakes the owner at the time that it scheduled.
pub(crate) struct Wake;

/// Withdraws a waiting request.
pub(crate) struct WithdrawRequest {
    pub(crate) request: RequestId,
}
