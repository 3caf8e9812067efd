use std::collections::VecDeque;

use names::{DataCentreName, EndpointName, LogIndex};
use serde::{Deserialize, Serialize};

use crate::{
    Answer, Change, Command, Error, FencingNumber, Order, OrderId, OrderState, Outcome, SETTLED_MAX,
};

/// Replicated state machine of the open and ended orders.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    applied_index: LogIndex,
    loads_max: u32,
    /// At most one order for each endpoint, sorted by endpoint.
    open: Vec<Order>,
    /// Oldest first.
    settled: VecDeque<SettledOrder>,
}

/// An order that has ended.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettledOrder {
    /// Time at which its end was recorded, as stamped by the leader.
    pub timestamp_ms: u64,
    /// The order.
    pub order: Order,
    /// How it ended.
    pub outcome: Outcome,
}

impl Orders {
    /// Creates an empty state with a budget of `loads_max` concurrent loads.
    #[must_use]
    pub fn new(loads_max: u32) -> Self {
        Self {
            loads_max,
            ..Self::default()
        }
    }

    /// Restores the state that [`Orders::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decoded.
    pub fn restore(snapshot: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(snapshot).map_err(|source| Error::SnapshotDecode { source })
    }

    /// Applies a command from the log; `timestamp_ms` is the leader's time of the log entry.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not greater than the previous one, or if an invariant is broken.
    pub fn apply(&mut self, index: LogIndex, timestamp_ms: u64, command: &Command) -> Answer {
        assert!(
            index > self.applied_index,
            "log entries applied out of order"
        );
        self.applied_index = index;
        match command {
            Command::Cancel { id } => self.cancel(timestamp_ms, *id),
            Command::Order {
                change,
                data_centre,
                endpoint,
                id,
            } => self.submit(FencingNumber(index.0), *id, endpoint, data_centre, change),
            Command::RecordOutcome {
                endpoint,
                fencing,
                outcome,
            } => self.record_outcome(timestamp_ms, endpoint, *fencing, *outcome),
            Command::SetBudget { loads_max } => {
                self.loads_max = *loads_max;
                Answer::Applied
            }
            Command::Start { endpoint, fencing } => self.start(endpoint, *fencing),
        }
    }

    /// Limit on concurrent loads in the whole fleet.
    #[must_use]
    pub fn loads_max(&self) -> u32 {
        self.loads_max
    }

    /// Loads that have started and not ended.
    #[must_use]
    pub fn loads_running(&self) -> usize {
        let running = |order: &&Order| order.state == OrderState::Started && order.change.is_load();
        self.open.iter().filter(running).count()
    }

    /// Open orders, by endpoint.
    #[must_use]
    pub fn open(&self) -> &[Order] {
        &self.open
    }

    /// Orders that have ended, oldest first.
    pub fn settled(&self) -> impl Iterator<Item = &SettledOrder> {
        self.settled.iter()
    }

    /// Encodes the whole state.
    ///
    /// # Panics
    ///
    /// Never: every state can be encoded.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("orders encode without failure")
    }

    fn cancel(&mut self, timestamp_ms: u64, id: OrderId) -> Answer {
        let cancellable = |order: &Order| order.id == id && order.state == OrderState::Waiting;
        let Some(position) = self.open.iter().position(cancellable) else {
            return Answer::NotOpen;
        };
        self.settle(timestamp_ms, position, Outcome::Cancelled);
        Answer::Applied
    }

    fn position(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.open
            .binary_search_by(|order| order.endpoint.cmp(endpoint))
    }

    fn position_in_state(
        &self,
        endpoint: &EndpointName,
        fencing: FencingNumber,
        state: OrderState,
    ) -> Option<usize> {
        let position = self.position(endpoint).ok()?;
        let order = &self.open[position];
        (order.fencing == fencing && order.state == state).then_some(position)
    }

    fn submit(
        &mut self,
        fencing: FencingNumber,
        id: OrderId,
        endpoint: &EndpointName,
        data_centre: &DataCentreName,
        change: &Change,
    ) -> Answer {
        if let Some(answer) = self.answer_to_repeat(id, endpoint, change) {
            return answer;
        }
        match self.position(endpoint) {
            Ok(position) => Answer::Busy {
                open: self.open[position].id,
            },
            Err(position) => {
                let order = Order {
                    change: change.clone(),
                    data_centre: data_centre.clone(),
                    endpoint: endpoint.clone(),
                    fencing,
                    id,
                    state: OrderState::Waiting,
                };
                self.open.insert(position, order);
                Answer::Accepted { fencing }
            }
        }
    }

    fn record_outcome(
        &mut self,
        timestamp_ms: u64,
        endpoint: &EndpointName,
        fencing: FencingNumber,
        outcome: Outcome,
    ) -> Answer {
        let Some(position) = self.position_in_state(endpoint, fencing, OrderState::Started) else {
            return Answer::NotOpen;
        };
        self.settle(timestamp_ms, position, outcome);
        Answer::Applied
    }

    /// Answers an order whose identifier was used before.
    fn answer_to_repeat(
        &self,
        id: OrderId,
        endpoint: &EndpointName,
        change: &Change,
    ) -> Option<Answer> {
        let is_repeat = |order: &Order| order.endpoint == *endpoint && order.change == *change;
        if let Some(order) = self.open.iter().find(|order| order.id == id) {
            let fencing = order.fencing;
            let answer = Answer::Accepted { fencing };
            return Some(if is_repeat(order) {
                answer
            } else {
                Answer::IdReused
            });
        }
        let settled = self.settled.iter().find(|settled| settled.order.id == id)?;
        let answer = Answer::Settled {
            fencing: settled.order.fencing,
            outcome: settled.outcome,
        };
        Some(if is_repeat(&settled.order) {
            answer
        } else {
            Answer::IdReused
        })
    }

    fn settle(&mut self, timestamp_ms: u64, position: usize, outcome: Outcome) {
        let order = self.open.remove(position);
        self.settled.push_back(SettledOrder {
            timestamp_ms,
            order,
            outcome,
        });
        if self.settled.len() > SETTLED_MAX {
            self.settled.pop_front();
        }
    }

    fn start(&mut self, endpoint: &EndpointName, fencing: FencingNumber) -> Answer {
        let Some(position) = self.position_in_state(endpoint, fencing, OrderState::Waiting) else {
            return Answer::NotOpen;
        };
        let is_load = self.open[position].change.is_load();
        if is_load && self.loads_running() >= self.loads_max as usize {
            return Answer::BudgetExhausted;
        }
        self.open[position].state = OrderState::Started;
        assert!(
            !is_load || self.loads_running() <= self.loads_max as usize,
            "more loads than the budget of the weight store"
        );
        Answer::Applied
    }
}
