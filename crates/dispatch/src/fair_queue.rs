//! Start-time fair queueing of flows over engine time.
//!
//! A flow is one row's requests for one model. Each flow has a virtual time, the engine time that it
//! was charged divided by its weight; the backlogged flow with the least virtual time goes first. A
//! flow that comes back from idleness starts at the queue's virtual time, so it neither saves up a
//! claim nor escapes a debt. Flows come and go with every request and there may be as many as rows:
//! inserting into sorted vectors would cost O(n), so the indexes are B-trees.

use std::collections::{BTreeMap, BTreeSet};

use names::RequestId;

use crate::pace::Pace;
use crate::work::RowIndex;

const MILLI: u64 = 1_000;

/// Requests for one model, by row.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Backlogged flows whose row is open, by virtual time.
    active: BTreeSet<(u64, RowIndex)>,
    /// Predicted engine time of all waiting requests.
    backlog_us: u64,
    /// Sum over backlogged flows.
    backlog_weight_milli: u64,
    flows: BTreeMap<RowIndex, Flow>,
    /// Flows without requests that still owe engine time, by virtual time.
    indebted: BTreeSet<(u64, RowIndex)>,
    pace: Pace,
    virtual_us: u64,
}

/// Requests of one row.
#[derive(Debug)]
struct Flow {
    backlog_us: u64,
    open: bool,
    others: BTreeMap<u64, RequestId>,
    urgent: BTreeMap<u64, RequestId>,
    virtual_us: u64,
    weight_milli: u64,
}

/// Place of one request in its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) cost_us: u64,
    pub(crate) row: RowIndex,
    pub(crate) sequence: u64,
    pub(crate) urgent: bool,
}

/// How much is waiting, as one flow sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Virtual time until the flow's last request is served.
    pub(crate) ahead_virtual_us: u64,
    pub(crate) flow_us: u64,
    pub(crate) flow_weight_milli: u64,
    pub(crate) pace: Option<f64>,
    pub(crate) total_us: u64,
    pub(crate) total_weight_milli: u64,
}

impl Flow {
    fn new(virtual_us: u64) -> Self {
        Self {
            backlog_us: 0,
            open: false,
            others: BTreeMap::new(),
            urgent: BTreeMap::new(),
            virtual_us,
            weight_milli: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.others.is_empty() && self.urgent.is_empty()
    }
}

impl FairQueue {
    /// Backlog of a row's flow.
    pub(crate) fn backlog(&self, row: RowIndex) -> Option<Backlog> {
        let flow = self.flows.get(&row)?;
        let weighted_us = flow.backlog_us.saturating_mul(MILLI) / flow.weight_milli.max(1);
        let last_virtual_us = flow.virtual_us.saturating_add(weighted_us);
        Some(Backlog {
            ahead_virtual_us: last_virtual_us.saturating_sub(self.virtual_us),
            flow_us: flow.backlog_us,
            flow_weight_milli: flow.weight_milli,
            pace: self.pace.average(),
            total_us: self.backlog_us,
            total_weight_milli: self.backlog_weight_milli,
        })
    }

    /// Moves a flow's virtual time by weighted engine time.
    pub(crate) fn charge(&mut self, row: RowIndex, by_us: i64, debt_us_max: u64) {
        let limit_us = self.virtual_us.saturating_add(debt_us_max);
        if let Some(flow) = self.flows.get_mut(&row) {
            let before_us = flow.virtual_us;
            flow.virtual_us = before_us.saturating_add_signed(by_us).min(limit_us);
            let after_us = flow.virtual_us;
            for index in [&mut self.active, &mut self.indebted] {
                if index.remove(&(before_us, row)) {
                    index.insert((after_us, row));
                }
            }
        } else if let Ok(debt_us) = u64::try_from(by_us)
            && debt_us > 0
        {
            let virtual_us = self.virtual_us.saturating_add(debt_us).min(limit_us);
            self.flows.insert(row, Flow::new(virtual_us));
            self.indebted.insert((virtual_us, row));
        }
    }

    /// The request of a flow that goes first.
    pub(crate) fn first(&self, row: RowIndex, urgent_first: bool) -> Option<RequestId> {
        let flow = self.flows.get(&row)?;
        let (before, after) = if urgent_first {
            (&flow.urgent, &flow.others)
        } else {
            (&flow.others, &flow.urgent)
        };
        before.values().chain(after.values()).next().copied()
    }

    /// Backlogged and open flows in the order of service.
    pub(crate) fn order(&self) -> impl Iterator<Item = RowIndex> {
        self.active.iter().map(|&(_, row)| row)
    }

    /// Adds a request.
    pub(crate) fn push(
        &mut self,
        now_us: u64,
        request: RequestId,
        position: Position,
        weight_milli: u64,
        open: bool,
    ) {
        if self.backlog_us == 0 {
            self.pace.restart(now_us, self.virtual_us);
        }
        let virtual_us = self.virtual_us;
        let flow = self
            .flows
            .entry(position.row)
            .or_insert_with(|| Flow::new(virtual_us));
        if flow.is_empty() {
            self.indebted.remove(&(flow.virtual_us, position.row));
            flow.virtual_us = flow.virtual_us.max(virtual_us);
            flow.weight_milli = weight_milli;
            flow.open = open;
            self.backlog_weight_milli += weight_milli;
            if open {
                self.active.insert((flow.virtual_us, position.row));
            }
        }
        let line = if position.urgent {
            &mut flow.urgent
        } else {
            &mut flow.others
        };
        let replaced = line.insert(position.sequence, request);
        assert!(replaced.is_none(), "two requests at one position");
        flow.backlog_us += position.cost_us;
        self.backlog_us += position.cost_us;
    }

    /// Takes a request out, served or not.
    pub(crate) fn remove(&mut self, position: Position) {
        let row = position.row;
        let flow = self
            .flows
            .get_mut(&row)
            .expect("a waiting request has a flow");
        let line = if position.urgent {
            &mut flow.urgent
        } else {
            &mut flow.others
        };
        let removed = line.remove(&position.sequence);
        assert!(removed.is_some(), "a waiting request is in its flow");
        flow.backlog_us -= position.cost_us;
        self.backlog_us -= position.cost_us;
        if !flow.is_empty() {
            return;
        }
        let virtual_us = flow.virtual_us;
        self.backlog_weight_milli -= flow.weight_milli;
        self.active.remove(&(virtual_us, row));
        if virtual_us > self.virtual_us {
            self.indebted.insert((virtual_us, row));
        } else {
            self.flows.remove(&row);
        }
    }

    /// Notes that a flow is being served, before it is charged.
    pub(crate) fn serve(&mut self, now_us: u64, row: RowIndex) {
        if let Some(flow) = self.flows.get(&row) {
            self.virtual_us = self.virtual_us.max(flow.virtual_us);
        }
        self.pace.sample(now_us, self.virtual_us);
        while let Some(&(virtual_us, paid)) = self.indebted.first()
            && virtual_us <= self.virtual_us
        {
            self.indebted.pop_first();
            self.flows.remove(&paid);
        }
    }

    /// Opens or closes a flow as its row's limits allow.
    pub(crate) fn set_open(&mut self, row: RowIndex, open: bool) {
        let Some(flow) = self.flows.get_mut(&row) else {
            return;
        };
        if flow.is_empty() || flow.open == open {
            return;
        }
        flow.open = open;
        if open {
            flow.virtual_us = flow.virtual_us.max(self.virtual_us);
            self.active.insert((flow.virtual_us, row));
        } else {
            self.active.remove(&(flow.virtual_us, row));
        }
    }

    /// Takes a row's changed weight.
    pub(crate) fn set_weight(&mut self, row: RowIndex, weight_milli: u64) {
        if let Some(flow) = self.flows.get_mut(&row)
            && !flow.is_empty()
        {
            self.backlog_weight_milli += weight_milli;
            self.backlog_weight_milli -= flow.weight_milli;
            flow.weight_milli = weight_milli;
        }
    }
}
