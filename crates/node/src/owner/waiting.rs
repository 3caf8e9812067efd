use names::RequestId;
use protocol::AcquireAnswer;
use tokio::sync::oneshot;

/// Where the answer to a request goes.
pub(crate) type Answer = oneshot::Sender<AcquireAnswer>;

/// Requests without an answer, sorted by number.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    requests: Vec<Request>,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) answer: Answer,
    pub(super) asker: super::holders::Asker,
    number: RequestId,
}

impl Waiting {
    /// Adds a request; numbers only grow.
    pub(super) fn push(&mut self, number: RequestId, asker: super::holders::Asker, answer: Answer) {
        assert!(
            self.requests.last().is_none_or(|last| last.number < number),
            "numbers of requests only grow"
        );
        self.requests.push(Request {
            answer,
            asker,
            number,
        });
    }

    pub(super) fn remove(&mut self, number: RequestId) -> Option<Request> {
        let position = self
            .requests
            .binary_search_by(|request| request.number.cmp(&number))
            .ok()?;
        Some(self.requests.remove(position))
    }
}
