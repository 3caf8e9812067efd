use names::RequestId;
use protocol::AcquireAnswer;
use tokio::sync::oneshot;

/// Where the answer to a request goes.
pub(crate) type AnswerSender = oneshot::Sender<AcquireAnswer>;

/// Requests without an answer, sorted by number.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    requests: Vec<WaitingRequest>,
}

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) answer: AnswerSender,
    pub(super) requester: super::granted_permits::Requester,
    number: RequestId,
}

impl WaitingRequests {
    /// Adds a request; numbers only grow.
    pub(super) fn push(
        &mut self,
        number: RequestId,
        requester: super::granted_permits::Requester,
        answer: AnswerSender,
    ) {
        assert!(
            self.requests.last().is_none_or(|last| last.number < number),
            "numbers of requests only grow"
        );
        self.requests.push(WaitingRequest {
            answer,
            requester,
            number,
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
