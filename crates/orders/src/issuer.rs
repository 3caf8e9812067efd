//! Sends started orders and records how they end.

use names::{EndpointName, Incarnation};
use session::CONFIGURATION_LEASE_MS;

use crate::{Change, Command, Fencing, ORDER_LIFE_MS, Order, OrderState, Outcome, RESEND_MS};

/// What the issuer learns.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Event {
    /// An endpoint is live; repeated with each of its announcements.
    Announced {
        /// Whether it refuses old fencing numbers.
        checks_fencing: bool,
        /// The endpoint.
        endpoint: EndpointName,
        /// Its run.
        incarnation: Incarnation,
    },
    /// An endpoint answered.
    Answered {
        /// Number of the attempt that it answers.
        attempt: u64,
        /// The endpoint.
        endpoint: EndpointName,
        /// Number of the order that was sent or read back for.
        fencing: Fencing,
        /// The answer.
        reply: Reply,
    },
    /// An endpoint's lease lapsed.
    Gone {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Time went by or the open orders changed.
    Tick,
}

/// Answer of an endpoint.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Reply {
    /// The order is carried out.
    Done,
    /// State read back: whether it is the ordered one.
    State {
        /// Whether the engine already is in the ordered state.
        matches: bool,
    },
    /// The order cannot be carried out and had no effect.
    Refused,
}

/// What the issuer wants done.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Action {
    /// Propose a command to the replicated log.
    Propose(Command),
    /// Read the state of an endpoint back and compare it with the ordered one.
    ReadBack {
        /// Number of the attempt, to be handed back with the answer.
        attempt: u64,
        /// What is ordered.
        change: Change,
        /// The endpoint.
        endpoint: EndpointName,
        /// Number of the order.
        fencing: Fencing,
    },
    /// Send an order.
    Send {
        /// Number of the attempt, to be handed back with the answer.
        attempt: u64,
        /// What it changes.
        change: Change,
        /// The endpoint.
        endpoint: EndpointName,
        /// Number of the order.
        fencing: Fencing,
    },
}

/// Issuer of one term of the leader; started anew with each term.
#[derive(Debug)]
pub struct Issuer {
    since_ms: u64,
    /// Sorted by endpoint.
    targets: Vec<Target>,
}

/// What the issuer knows of one endpoint.
#[derive(Debug)]
struct Target {
    /// Number of the last attempt; answers to earlier ones are not taken.
    attempt: u64,
    checks_fencing: bool,
    endpoint: EndpointName,
    incarnation: Incarnation,
    /// Order in progress, and when to ask for it again.
    pending: Option<Pending>,
    /// Earlier attempts cannot take effect from then on.
    quiet_ms: u64,
}

#[derive(Debug)]
struct Pending {
    fencing: Fencing,
    retry_ms: u64,
    /// Times that this issuer sent the order.
    sent: u32,
}

impl Issuer {
    /// Starts at the leader when its term begins.
    ///
    /// Attempts of earlier issuers end one lease and the life of an order later.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            targets: Vec::new(),
        }
    }

    /// Takes an event; `open` are the open orders as committed.
    ///
    /// Call it only under a live configuration lease.
    pub fn handle(&mut self, now_ms: u64, event: &Event, open: &[Order]) -> Vec<Action> {
        match event {
            Event::Announced {
                checks_fencing,
                endpoint,
                incarnation,
            } => self.announced(endpoint, *incarnation, *checks_fencing),
            Event::Answered {
                attempt,
                endpoint,
                fencing,
                reply,
            } => {
                let order = started(endpoint, open).filter(|order| order.fencing == *fencing);
                return order
                    .and_then(|order| self.answered(now_ms, *attempt, *reply, order))
                    .into_iter()
                    .collect();
            }
            Event::Gone { endpoint } => return gone(endpoint, open),
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
        if pending.is_some_and(|sent| sent.fencing == order.fencing && now_ms < sent.retry_ms) {
            return None;
        }
        if target.checks_fencing {
            return Some(target.send(now_ms, order));
        }
        if now_ms < target.quiet_ms {
            return None;
        }
        Some(target.read_back(now_ms, order))
    }

    fn announced(&mut self, endpoint: &EndpointName, incarnation: Incarnation, checks: bool) {
        let quiet_ms = self.since_ms + CONFIGURATION_LEASE_MS + ORDER_LIFE_MS;
        match self.position(endpoint) {
            Ok(position) => {
                let target = &mut self.targets[position];
                target.checks_fencing = checks;
                if target.incarnation != incarnation {
                    target.incarnation = incarnation;
                    target.ask_again();
                }
            }
            Err(position) => self.targets.insert(
                position,
                Target {
                    attempt: 0,
                    checks_fencing: checks,
                    endpoint: endpoint.clone(),
                    incarnation,
                    pending: None,
                    quiet_ms,
                },
            ),
        }
    }

    fn answered(
        &mut self,
        now_ms: u64,
        attempt: u64,
        reply: Reply,
        order: &Order,
    ) -> Option<Action> {
        let target = self.target(&order.endpoint)?;
        if attempt != target.attempt {
            return None;
        }
        let outcome = match reply {
            Reply::State { matches: false } => return Some(target.send(now_ms, order)),
            Reply::Done | Reply::State { matches: true } => Outcome::Done,
            Reply::Refused => Outcome::Failed,
        };
        target.end_attempts(now_ms);
        Some(record(order, outcome))
    }

    fn position(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.endpoint.cmp(endpoint))
    }

    fn target(&mut self, endpoint: &EndpointName) -> Option<&mut Target> {
        let position = self.position(endpoint).ok()?;
        Some(&mut self.targets[position])
    }
}

impl Target {
    /// Asks for the pending order again as soon as that is safe; answers so far are void.
    fn ask_again(&mut self) {
        self.attempt += 1;
        if let Some(pending) = &mut self.pending {
            pending.retry_ms = 0;
        }
    }

    /// Notes the end of an order; its only attempt cannot take effect any more.
    fn end_attempts(&mut self, now_ms: u64) {
        let only = |pending: &Pending| pending.sent == 1;
        if !self.checks_fencing && self.pending.as_ref().is_some_and(only) {
            self.quiet_ms = self.quiet_ms.min(now_ms);
        }
    }

    fn begin_attempt(&mut self, order: &Order, retry_ms: u64, sent: u32) {
        self.attempt += 1;
        self.pending = Some(Pending {
            fencing: order.fencing,
            retry_ms,
            sent,
        });
    }

    fn read_back(&mut self, now_ms: u64, order: &Order) -> Action {
        self.begin_attempt(order, now_ms + RESEND_MS, self.sent(order.fencing));
        Action::ReadBack {
            attempt: self.attempt,
            change: order.change.clone(),
            endpoint: order.endpoint.clone(),
            fencing: order.fencing,
        }
    }

    fn send(&mut self, now_ms: u64, order: &Order) -> Action {
        let again_ms = if self.checks_fencing {
            RESEND_MS
        } else {
            ORDER_LIFE_MS
        };
        self.begin_attempt(order, now_ms + again_ms, self.sent(order.fencing) + 1);
        self.quiet_ms = self.quiet_ms.max(now_ms + ORDER_LIFE_MS);
        Action::Send {
            attempt: self.attempt,
            change: order.change.clone(),
            endpoint: order.endpoint.clone(),
            fencing: order.fencing,
        }
    }

    fn sent(&self, fencing: Fencing) -> u32 {
        let pending = self.pending.as_ref();
        pending
            .filter(|pending| pending.fencing == fencing)
            .map_or(0, |pending| pending.sent)
    }
}

fn gone(endpoint: &EndpointName, open: &[Order]) -> Vec<Action> {
    let order = started(endpoint, open);
    order
        .map(|order| record(order, Outcome::Unknown))
        .into_iter()
        .collect()
}

fn record(order: &Order, outcome: Outcome) -> Action {
    Action::Propose(Command::Record {
        endpoint: order.endpoint.clone(),
        fencing: order.fencing,
        outcome,
    })
}

fn started<'a>(endpoint: &EndpointName, open: &'a [Order]) -> Option<&'a Order> {
    open.iter()
        .find(|order| order.endpoint == *endpoint && order.state == OrderState::Started)
}
