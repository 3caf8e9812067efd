use std::collections::VecDeque;

use agreement::{Proposal, Refusal, RequestNumber, Term};
use names::{InstanceName, LogIndex};

use super::Reply;
use crate::{Answer, Error};

/// Whom an answer goes to.
enum Asker {
    Change(Reply<LogIndex>),
    Confirm(Reply<LogIndex>),
    HandOver(Reply<()>),
    Proposal(Reply<Answer>),
}

/// A request that the replica has not placed or answered yet.
struct Open {
    asker: Asker,
    request: RequestNumber,
}

/// A request with a position that is not committed yet.
struct Placed {
    asker: Asker,
    index: LogIndex,
    term: Term,
}

/// Requests that are not answered yet.
#[derive(Default)]
pub(super) struct Requests {
    next: u64,
    /// Sorted by number.
    open: Vec<Open>,
    /// Sorted by position.
    placed: VecDeque<Placed>,
    waiting: Vec<Proposal>,
}

impl Asker {
    fn fail(self, error: Error) {
        match self {
            Self::Change(reply) | Self::Confirm(reply) => drop(reply.send(Err(error))),
            Self::HandOver(reply) => drop(reply.send(Err(error))),
            Self::Proposal(reply) => drop(reply.send(Err(error))),
        }
    }

    fn succeed(self, index: LogIndex, bytes: Vec<u8>) {
        match self {
            Self::Change(reply) | Self::Confirm(reply) => drop(reply.send(Ok(index))),
            Self::HandOver(reply) => drop(reply.send(Ok(()))),
            Self::Proposal(reply) => drop(reply.send(Ok(Answer { bytes, index }))),
        }
    }
}

impl Requests {
    pub(super) fn add_change(&mut self, reply: Reply<LogIndex>) -> RequestNumber {
        self.add(Asker::Change(reply))
    }

    pub(super) fn add_confirm(&mut self, reply: Reply<LogIndex>) -> RequestNumber {
        self.add(Asker::Confirm(reply))
    }

    pub(super) fn add_hand_over(&mut self, reply: Reply<()>) -> RequestNumber {
        self.add(Asker::HandOver(reply))
    }

    pub(super) fn add_proposal(&mut self, command: Vec<u8>, reply: Reply<Answer>) {
        let request = self.add(Asker::Proposal(reply));
        self.waiting.push(Proposal { command, request });
    }

    /// Number of a request that nobody waits for.
    pub(super) fn add_unobserved(&mut self) -> RequestNumber {
        self.next += 1;
        RequestNumber(self.next)
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(super) fn proposals(&self) -> usize {
        self.waiting.len() + self.placed.len()
    }

    pub(super) fn take_waiting(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.waiting)
    }

    pub(super) fn on_appended(&mut self, request: RequestNumber, index: LogIndex, term: Term) {
        if let Some(asker) = self.take(request) {
            self.placed.push_back(Placed { asker, index, term });
        }
    }

    pub(super) fn on_confirmed(&mut self, request: RequestNumber, index: LogIndex) {
        if let Some(asker) = self.take(request) {
            asker.succeed(index, Vec::new());
        }
    }

    pub(super) fn on_handing_over(&mut self, request: RequestNumber) {
        if let Some(asker) = self.take(request) {
            asker.succeed(LogIndex(0), Vec::new());
        }
    }

    pub(super) fn on_refused(&mut self, request: RequestNumber, refusal: Refusal) {
        let error = match refusal {
            Refusal::NotLeader { leader } => Error::NotLeader { leader },
            other => Error::Refused(other),
        };
        if let Some(asker) = self.take(request) {
            asker.fail(error);
        }
    }

    pub(super) fn on_applied(&mut self, index: LogIndex, term: Term, answer: Vec<u8>) {
        let Some(placed) = self.placed.pop_front_if(|placed| placed.index <= index) else {
            return;
        };
        assert_eq!(
            (placed.index, placed.term),
            (index, term),
            "a leader's own entries are committed as it placed them"
        );
        placed.asker.succeed(index, answer);
    }

    /// Refuses proposals that are not appended; the others may or may not be committed.
    pub(super) fn on_not_leader(&mut self, leader: Option<&InstanceName>) {
        self.fail_placed();
        for proposal in std::mem::take(&mut self.waiting) {
            let leader = leader.cloned();
            self.on_refused(proposal.request, Refusal::NotLeader { leader });
        }
    }

    pub(super) fn on_stopped(&mut self) {
        self.fail_placed();
        self.waiting.clear();
        for open in self.open.drain(..) {
            open.asker.fail(Error::stopped());
        }
    }

    fn fail_placed(&mut self) {
        for placed in self.placed.drain(..) {
            placed.asker.fail(Error::Unknown);
        }
    }

    fn add(&mut self, asker: Asker) -> RequestNumber {
        let request = self.add_unobserved();
        self.open.push(Open { asker, request });
        request
    }

    fn take(&mut self, request: RequestNumber) -> Option<Asker> {
        let found = self
            .open
            .binary_search_by_key(&request, |open| open.request);
        found.ok().map(|at| self.open.remove(at).asker)
    }
}
