use names::RequestId;
use protocol::AcquireAnswer;
use tokio::sync::oneshot;

/// Channel for the answer to a request.
pub(crate) type AnswerSender = oneshot::Sender<AcquireAnswer>;

/// Requests that wait for a permit.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    /// Sorted by number.
    requests: Vec<WaitingRequest>,
}

/// A request that waits for a permit.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) answer: AnswerSender,
    number: RequestId,
    pub(super) requester: super::granted_permits::Requester,
}

impl WaitingRequests {
    /// Adds a request; its number must be greater than all before.
    pub(super) fn push(
        &mut self,
        number: RequestId,
        requester: super::granted_permits::Requester,
        answer: AnswerSender,
    ) {
        assert!(
            self.requests.last().is_none_or(|last| last.number < number),
            "request numbers increase"
        );
        self.requests.push(WaitingRequest {
            answer,
            number,
            requester,
        });
    }

    pub(super) fn remove(&mut self, number: RequestId) -> Option<WaitingRequest> {
        let position = self
            .requests
            .binary_search_by(|request| request.number.cmp(&number))
            .ok()?;
        Some(self.requests.remove(position))
    }
}
