//! Start-time fair queueing of flows over engine time.
//!
//! A flow is one row's requests for one model. The virtual time of a flow is the engine time that
//! it was charged, divided by its weight. The backlogged flow with the least virtual time is served
//! first. A flow that was idle continues at the queue's virtual time or at its own, whichever is
//! later, so it neither accumulates credit nor loses a debt. Flows are created and removed with
//! every request, and there may be as many as rows. Insertion into a sorted vector would be O(n),
//! so the indexes are B-trees.

use std::collections::{BTreeMap, BTreeSet};

use names::RequestId;

use crate::request_spec::RowIndex;
use crate::virtual_time_rate::VirtualTimeRate;

const MILLI_PER_UNIT: u64 = 1_000;

/// Waiting requests for one model, with a flow for each row.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Backlogged and eligible flows, by virtual time.
    active: BTreeSet<(u64, RowIndex)>,
    /// Predicted engine time of all waiting requests.
    backlog_us: u64,
    /// Sum of the weights of backlogged flows.
    backlog_weight_milli: u64,
    flows: BTreeMap<RowIndex, Flow>,
    /// Flows without requests whose virtual time is ahead of the queue's, by virtual time.
    in_debt: BTreeSet<(u64, RowIndex)>,
    virtual_time_rate: VirtualTimeRate,
    virtual_us: u64,
}

/// Waiting requests of one row for the queue's model.
#[derive(Debug)]
struct Flow {
    backlog_us: u64,
    /// Whether the row's limits allow another request.
    is_eligible: bool,
    normal: BTreeMap<u64, RequestId>,
    urgent: BTreeMap<u64, RequestId>,
    virtual_us: u64,
    weight_milli: u64,
}

/// Position and predicted engine time of one request in its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuePosition {
    pub(crate) arrival_number: u64,
    pub(crate) cost_us: u64,
    pub(crate) row: RowIndex,
    pub(crate) urgent: bool,
}

/// Waiting engine time of one flow and of the whole queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Virtual time from now until the flow's last request is served.
    pub(crate) ahead_virtual_us: u64,
    pub(crate) flow_us: u64,
    pub(crate) flow_weight_milli: u64,
    pub(crate) total_us: u64,
    pub(crate) total_weight_milli: u64,
    /// Average rate of virtual time.
    pub(crate) virtual_time_rate: Option<f64>,
}

impl Flow {
    fn new(virtual_us: u64) -> Self {
        Self {
            backlog_us: 0,
            is_eligible: false,
            normal: BTreeMap::new(),
            urgent: BTreeMap::new(),
            virtual_us,
            weight_milli: 0,
        }
    }

    fn is_empty(&self) -> bool {
        self.normal.is_empty() && self.urgent.is_empty()
    }
}

impl FairQueue {
    /// Backlog of a row's flow, if it has one.
    pub(crate) fn backlog(&self, row: RowIndex) -> Option<Backlog> {
        let flow = self.flows.get(&row)?;
        let weighted_us = flow.backlog_us.saturating_mul(MILLI_PER_UNIT) / flow.weight_milli.max(1);
        let last_virtual_us = flow.virtual_us.saturating_add(weighted_us);
        Some(Backlog {
            ahead_virtual_us: last_virtual_us.saturating_sub(self.virtual_us),
            flow_us: flow.backlog_us,
            flow_weight_milli: flow.weight_milli,
            total_us: self.backlog_us,
            total_weight_milli: self.backlog_weight_milli,
            virtual_time_rate: self.virtual_time_rate.average(),
        })
    }

    /// Adds `by_us` to a flow's virtual time, up to `debt_us_max` ahead of the queue's.
    pub(crate) fn charge(&mut self, row: RowIndex, by_us: i64, debt_us_max: u64) {
        let limit_us = self.virtual_us.saturating_add(debt_us_max);
        if let Some(flow) = self.flows.get_mut(&row) {
            let before_us = flow.virtual_us;
            flow.virtual_us = before_us.saturating_add_signed(by_us).min(limit_us);
            let after_us = flow.virtual_us;
            for index in [&mut self.active, &mut self.in_debt] {
                if index.remove(&(before_us, row)) {
                    index.insert((after_us, row));
                }
            }
        } else if let Ok(debt_us) = u64::try_from(by_us)
            && debt_us > 0
        {
            let virtual_us = self.virtual_us.saturating_add(debt_us).min(limit_us);
            self.flows.insert(row, Flow::new(virtual_us));
            self.in_debt.insert((virtual_us, row));
        }
    }

    /// The next request of a flow.
    pub(crate) fn first(&self, row: RowIndex, is_urgent_first: bool) -> Option<RequestId> {
        let flow = self.flows.get(&row)?;
        let (first, second) = if is_urgent_first {
            (&flow.urgent, &flow.normal)
        } else {
            (&flow.normal, &flow.urgent)
        };
        first.values().chain(second.values()).next().copied()
    }

    /// Rows of the active flows, in the order of service.
    pub(crate) fn order(&self) -> impl Iterator<Item = RowIndex> {
        self.active.iter().map(|&(_, row)| row)
    }

    /// Adds a request to its row's flow. `weight_milli` and `is_eligible` apply if the flow was empty.
    pub(crate) fn push(
        &mut self,
        now_us: u64,
        request: RequestId,
        position: QueuePosition,
        weight_milli: u64,
        is_eligible: bool,
    ) {
        if self.backlog_us == 0 {
            self.virtual_time_rate.restart(now_us, self.virtual_us);
        }
        let virtual_us = self.virtual_us;
        let flow = self
            .flows
            .entry(position.row)
            .or_insert_with(|| Flow::new(virtual_us));
        if flow.is_empty() {
            self.in_debt.remove(&(flow.virtual_us, position.row));
            flow.virtual_us = flow.virtual_us.max(virtual_us);
            flow.weight_milli = weight_milli;
            flow.is_eligible = is_eligible;
            self.backlog_weight_milli += weight_milli;
            if is_eligible {
                self.active.insert((flow.virtual_us, position.row));
            }
        }
        let requests = if position.urgent {
            &mut flow.urgent
        } else {
            &mut flow.normal
        };
        let replaced = requests.insert(position.arrival_number, request);
        assert!(
            replaced.is_none(),
            "two requests have the same queue position"
        );
        flow.backlog_us += position.cost_us;
        self.backlog_us += position.cost_us;
    }

    /// Removes a request, whether it was granted or not.
    pub(crate) fn remove(&mut self, position: QueuePosition) {
        let row = position.row;
        let flow = self
            .flows
            .get_mut(&row)
            .expect("a waiting request has a flow");
        let requests = if position.urgent {
            &mut flow.urgent
        } else {
            &mut flow.normal
        };
        let removed = requests.remove(&position.arrival_number);
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
            self.in_debt.insert((virtual_us, row));
        } else {
            self.flows.remove(&row);
        }
    }

    /// Advances the queue's virtual time to that of a flow served now. Call it before `charge`.
    pub(crate) fn record_service(&mut self, now_us: u64, row: RowIndex) {
        if let Some(flow) = self.flows.get(&row) {
            self.virtual_us = self.virtual_us.max(flow.virtual_us);
        }
        self.virtual_time_rate.record(now_us, self.virtual_us);
        while let Some(&(virtual_us, row)) = self.in_debt.first()
            && virtual_us <= self.virtual_us
        {
            self.in_debt.pop_first();
            self.flows.remove(&row);
        }
    }

    /// Activates or deactivates a flow, as its row's limits allow.
    pub(crate) fn set_eligible(&mut self, row: RowIndex, is_eligible: bool) {
        let Some(flow) = self.flows.get_mut(&row) else {
            return;
        };
        if flow.is_empty() || flow.is_eligible == is_eligible {
            return;
        }
        flow.is_eligible = is_eligible;
        if is_eligible {
            flow.virtual_us = flow.virtual_us.max(self.virtual_us);
            self.active.insert((flow.virtual_us, row));
        } else {
            self.active.remove(&(flow.virtual_us, row));
        }
    }

    /// Sets a row's changed weight.
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
