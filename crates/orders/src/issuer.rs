//! Sends started orders to endpoints and records their outcome.

use names::{EndpointName, Incarnation};
use session::CONFIGURATION_LEASE_MS;

use crate::{
    Change, Command, FencingNumber, ORDER_LIFETIME_MS, Order, OrderState, Outcome,
    RESEND_INTERVAL_MS,
};

/// Input of the issuer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Event {
    /// An endpoint is live; repeated with each of its announcements.
    Announced {
        /// Whether it refuses old fencing numbers.
        checks_fencing: bool,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// An endpoint answered an order or a read of its state.
    Answered {
        /// The answer.
        answer: EndpointAnswer,
        /// Number of the answered attempt.
        attempt: u64,
        /// The endpoint.
        endpoint: EndpointName,
        /// Fencing number of the order behind the attempt.
        fencing: FencingNumber,
    },
    /// An endpoint's lease lapsed.
    LeaseLapsed {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Time passed or the open orders changed.
    Tick,
}

/// Answer of an endpoint to an order or to a read of its state.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum EndpointAnswer {
    /// The order took effect.
    Done,
    /// The state was read back.
    State {
        /// Whether the engine is in the ordered state.
        matches: bool,
    },
    /// The order cannot be executed and had no effect.
    Refused,
}

/// Action that the caller executes for the issuer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Action {
    /// Propose a command to the replicated log.
    Propose(Command),
    /// Read the state of an endpoint back and compare it with the ordered one.
    ReadBack {
        /// Number of the attempt, to be returned with the answer.
        attempt: u64,
        /// The ordered change.
        change: Change,
        /// The endpoint.
        endpoint: EndpointName,
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// Send an order.
    Send {
        /// Number of the attempt, to be returned with the answer.
        attempt: u64,
        /// The ordered change.
        change: Change,
        /// The endpoint.
        endpoint: EndpointName,
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
}

/// Sends orders on the leader; one issuer serves one term.
#[derive(Debug)]
pub struct Issuer {
    started_ms: u64,
    /// Sorted by endpoint.
    targets: Vec<TargetEndpoint>,
}

/// Endpoint that receives orders, with the state of the attempts.
#[derive(Debug)]
struct TargetEndpoint {
    /// Number of the last attempt; answers to earlier ones are ignored.
    attempt: u64,
    /// Time from which no earlier attempt can take effect.
    attempts_expire_ms: u64,
    checks_fencing: bool,
    endpoint: EndpointName,
    incarnation: Incarnation,
    /// The order in progress.
    pending: Option<PendingOrder>,
}

/// Order that this issuer is sending to an endpoint.
#[derive(Debug)]
struct PendingOrder {
    fencing: FencingNumber,
    retry_at_ms: u64,
    /// How often this issuer sent the order.
    send_count: u32,
}

impl Issuer {
    /// Creates the issuer when the leader's term begins.
    ///
    /// Attempts of earlier issuers end after one configuration lease plus [`ORDER_LIFETIME_MS`].
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            targets: Vec::new(),
        }
    }

    /// Handles an event; `open` holds the open orders as committed.
    ///
    /// Call it only under a live configuration lease.
    pub fn handle(&mut self, now_ms: u64, event: &Event, open: &[Order]) -> Vec<Action> {
        match event {
            Event::Announced {
                checks_fencing,
                endpoint,
                incarnation,
            } => self.handle_announcement(endpoint, *incarnation, *checks_fencing),
            Event::Answered {
                answer,
                attempt,
                endpoint,
                fencing,
            } => {
                let order = started_order(endpoint, open).filter(|order| order.fencing == *fencing);
                return order
                    .and_then(|order| self.handle_answer(now_ms, *attempt, *answer, order))
                    .into_iter()
                    .collect();
            }
            Event::LeaseLapsed { endpoint } => return record_lapsed_endpoint(endpoint, open),
            Event::Tick => {}
        }
        open.iter()
            .filter(|order| order.state == OrderState::Started)
            .filter_map(|order| self.advance(now_ms, order))
            .collect()
    }

    fn advance(&mut self, now_ms: u64, order: &Order) -> Option<Action> {
        let target = self.target(&order.endpoint)?;
        let pending = target.pending.as_ref();
        if pending.is_some_and(|sent| sent.fencing == order.fencing && now_ms < sent.retry_at_ms) {
            return None;
        }
        if target.checks_fencing {
            return Some(target.send(now_ms, order));
        }
        if now_ms < target.attempts_expire_ms {
            return None;
        }
        Some(target.read_back(now_ms, order))
    }

    fn handle_announcement(
        &mut self,
        endpoint: &EndpointName,
        incarnation: Incarnation,
        checks_fencing: bool,
    ) {
        let attempts_expire_ms = self.started_ms + CONFIGURATION_LEASE_MS + ORDER_LIFETIME_MS;
        match self.position(endpoint) {
            Ok(position) => {
                let target = &mut self.targets[position];
                target.checks_fencing = checks_fencing;
                if target.incarnation != incarnation {
                    target.incarnation = incarnation;
                    target.allow_retry();
                }
            }
            Err(position) => self.targets.insert(
                position,
                TargetEndpoint {
                    attempt: 0,
                    attempts_expire_ms,
                    checks_fencing,
                    endpoint: endpoint.clone(),
                    incarnation,
                    pending: None,
                },
            ),
        }
    }

    fn handle_answer(
        &mut self,
        now_ms: u64,
        attempt: u64,
        answer: EndpointAnswer,
        order: &Order,
    ) -> Option<Action> {
        let target = self.target(&order.endpoint)?;
        if attempt != target.attempt {
            return None;
        }
        let outcome = match answer {
            EndpointAnswer::State { matches: false } => return Some(target.send(now_ms, order)),
            EndpointAnswer::Done | EndpointAnswer::State { matches: true } => Outcome::Done,
            EndpointAnswer::Refused => Outcome::Failed,
        };
        target.finish_order(now_ms);
        Some(record_outcome(order, outcome))
    }

    fn position(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.endpoint.cmp(endpoint))
    }

    fn target(&mut self, endpoint: &EndpointName) -> Option<&mut TargetEndpoint> {
        let position = self.position(endpoint).ok()?;
        Some(&mut self.targets[position])
    }
}

impl TargetEndpoint {
    /// Allows the pending order to be retried when that is safe; earlier answers are ignored.
    fn allow_retry(&mut self) {
        self.attempt += 1;
        if let Some(pending) = &mut self.pending {
            pending.retry_at_ms = 0;
        }
    }

    /// Records the end of an order; if it was sent once, that attempt can no longer take effect.
    fn finish_order(&mut self, now_ms: u64) {
        let was_sent_once = |pending: &PendingOrder| pending.send_count == 1;
        if !self.checks_fencing && self.pending.as_ref().is_some_and(was_sent_once) {
            self.attempts_expire_ms = self.attempts_expire_ms.min(now_ms);
        }
    }

    fn begin_attempt(&mut self, order: &Order, retry_at_ms: u64, send_count: u32) {
        self.attempt += 1;
        self.pending = Some(PendingOrder {
            fencing: order.fencing,
            retry_at_ms,
            send_count,
        });
    }

    fn read_back(&mut self, now_ms: u64, order: &Order) -> Action {
        self.begin_attempt(
            order,
            now_ms + RESEND_INTERVAL_MS,
            self.send_count(order.fencing),
        );
        Action::ReadBack {
            attempt: self.attempt,
            change: order.change.clone(),
            endpoint: order.endpoint.clone(),
            fencing: order.fencing,
        }
    }

    fn send(&mut self, now_ms: u64, order: &Order) -> Action {
        let retry_delay_ms = if self.checks_fencing {
            RESEND_INTERVAL_MS
        } else {
            ORDER_LIFETIME_MS
        };
        self.begin_attempt(
            order,
            now_ms + retry_delay_ms,
            self.send_count(order.fencing) + 1,
        );
        self.attempts_expire_ms = self.attempts_expire_ms.max(now_ms + ORDER_LIFETIME_MS);
        Action::Send {
            attempt: self.attempt,
            change: order.change.clone(),
            endpoint: order.endpoint.clone(),
            fencing: order.fencing,
        }
    }

    fn send_count(&self, fencing: FencingNumber) -> u32 {
        let pending = self.pending.as_ref();
        pending
            .filter(|pending| pending.fencing == fencing)
            .map_or(0, |pending| pending.send_count)
    }
}

fn record_lapsed_endpoint(endpoint: &EndpointName, open: &[Order]) -> Vec<Action> {
    let order = started_order(endpoint, open);
    order
        .map(|order| record_outcome(order, Outcome::Unknown))
        .into_iter()
        .collect()
}

fn record_outcome(order: &Order, outcome: Outcome) -> Action {
    Action::Propose(Command::RecordOutcome {
        endpoint: order.endpoint.clone(),
        fencing: order.fencing,
        outcome,
    })
}

fn started_order<'a>(endpoint: &EndpointName, open: &'a [Order]) -> Option<&'a Order> {
    open.iter()
        .find(|order| order.endpoint == *endpoint && order.state == OrderState::Started)
}
