use names::RequestId;

use super::{Dispatcher, QueuedRequest};
use crate::number::{to_f64, to_u64};
use crate::permit::Permit;
use crate::request_spec::{RequestSpec, RowIndex};
use crate::{Action, Demand, RefusalReason};

/// Shortest delay that is suggested for a retry.
const RETRY_AFTER_MS_MIN: u64 = 100;

/// Longest delay that is suggested for a retry.
const RETRY_AFTER_MS_MAX: u64 = 60_000;

const US_PER_MS: u64 = 1_000;

impl Dispatcher {
    /// Refuses queued requests that reached their longest wait.
    pub(super) fn refuse_expired(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while let Some(&(at_us, request)) = self.expiries.first()
            && at_us <= now_us
        {
            let spec = self.queued[&request].spec.clone();
            let retry_after_ms = self.retry_after_ms(&spec);
            self.dequeue(request);
            self.unblock_pools();
            actions.push(Action::Refuse {
                reason: RefusalReason::WaitedTooLong,
                request,
                retry_after_ms,
            });
        }
    }

    /// Grants, queues or refuses a new request.
    pub(super) fn handle_request(
        &mut self,
        now_us: u64,
        request: RequestId,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        if self.queued.contains_key(&request) || self.running.contains_key(&request) {
            self.handle_repeated_request(now_us, request);
            self.unblock_pools();
            return self.grant_all(now_us, actions);
        }
        if let Err(refusal) = self.enqueue(now_us, request, demand) {
            actions.push(refusal);
            return self.grant_all(now_us, actions);
        }
        self.unblock_pool_for(request);
        self.grant_all(now_us, actions);
        if let Some(reason) = self.queueing_refusal(now_us, request) {
            let spec = self.dequeue(request).spec;
            let retry_after_ms = self.retry_after_ms(&spec);
            actions.push(Action::Refuse {
                reason,
                request,
                retry_after_ms,
            });
        }
    }

    /// Removes a request from the queue.
    pub(super) fn dequeue(&mut self, request: RequestId) -> QueuedRequest {
        let queued = self.queued.remove(&request).expect("the request is queued");
        self.expiries.remove(&(queued.expires_us, request));
        let pool = self.pool_index(queued.spec.model);
        self.pools[pool].queue.remove(queued.position());
        self.row_mut(queued.spec.row).queued -= 1;
        queued
    }

    pub(super) fn withdraw(&mut self, request: RequestId) {
        if self.queued.contains_key(&request) {
            self.dequeue(request);
        } else if let Some(number) = self.running.get(&request) {
            let permit = self.permits.get_mut(number).expect("the permit exists");
            permit.is_withdrawn = true;
        }
    }

    /// Queues the request of a cancelled permit at its former position.
    pub(super) fn requeue(&mut self, now_us: u64, permit: Permit) {
        self.insert_queued(now_us, permit.request, permit.spec);
    }

    fn enqueue(&mut self, now_us: u64, request: RequestId, demand: &Demand) -> Result<(), Action> {
        let row = self
            .row_indexes
            .get(&(demand.customer, demand.kind))
            .copied()
            .filter(|&row| self.row(row).limits.is_some());
        let refuse = |reason| Action::Refuse {
            reason,
            request,
            retry_after_ms: RETRY_AFTER_MS_MAX,
        };
        let Some(row) = row else {
            return Err(refuse(RefusalReason::UnknownRow));
        };
        let pool = self.pool_index(demand.model);
        let largest_tokens = self.largest_memory_tokens(pool);
        let Some(largest_tokens) = largest_tokens else {
            return Err(refuse(RefusalReason::NoEndpoint));
        };
        if u64::from(demand.prompt_tokens) >= largest_tokens {
            return Err(refuse(RefusalReason::TooLarge));
        }
        let spec = RequestSpec::new(demand, row, now_us, self.next_arrival_number);
        self.next_arrival_number += 1;
        self.insert_queued(now_us, request, spec);
        Ok(())
    }

    fn insert_queued(&mut self, now_us: u64, request: RequestId, spec: RequestSpec) {
        let row = spec.row;
        let pool = self.pool_index(spec.model);
        let cost_us = self.expected_cost_us(pool, &spec);
        let limits = self.row(row).limits.as_ref();
        let wait_us_max =
            limits.map_or(0, |limits| limits.queueing_ms_max.saturating_mul(US_PER_MS));
        let expires_us = spec
            .deadline_us
            .min(spec.arrived_us.saturating_add(wait_us_max));
        let queued = QueuedRequest {
            bypassed_since_us: None,
            cost_us,
            expires_us,
            spec,
        };
        let next_grant_us = self.row(row).next_grant_us(now_us);
        let is_eligible = next_grant_us.is_some_and(|at_us| at_us <= now_us);
        let weight_milli = self.weight_milli(row);
        let position = queued.position();
        self.pools[pool]
            .queue
            .push(now_us, request, position, weight_milli, is_eligible);
        self.expiries.insert((expires_us, request));
        self.queued.insert(request, queued);
        self.row_mut(row).queued += 1;
        self.update_row_flows(now_us, row);
    }

    /// Memory of the largest ready endpoint of a pool, if any is ready.
    fn largest_memory_tokens(&self, pool: usize) -> Option<u64> {
        let model = self.pools[pool].model;
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|endpoint| endpoint.ready && endpoint.serves(model))
            .filter_map(|endpoint| endpoint.profile.as_ref())
            .map(|profile| profile.memory_tokens)
            .max()
    }

    /// Reason for refusing a request that was queued but not granted, if it must not wait.
    fn queueing_refusal(&self, now_us: u64, request: RequestId) -> Option<RefusalReason> {
        let queued = self.queued.get(&request)?;
        let row = self.row(queued.spec.row);
        let limits = row.limits.as_ref()?;
        if row.queued > limits.queued_max {
            return Some(RefusalReason::QueueFull);
        }
        if queued.expires_us <= now_us {
            return Some(RefusalReason::WaitedTooLong);
        }
        let allowed_us = to_f64(queued.expires_us.saturating_sub(now_us));
        let predicted_us = to_f64(self.predicted_wait_us(&queued.spec));
        let accepted_fraction = self.settings.wait_fraction_max;
        (predicted_us > allowed_us * accepted_fraction).then_some(RefusalReason::Overload)
    }

    /// Predicted wait of the last request in a row's flow for a model.
    fn predicted_wait_us(&self, spec: &RequestSpec) -> u64 {
        let found = self.pools.iter().find(|pool| pool.model == spec.model);
        let Some(pool) = found else {
            return 0;
        };
        let Some(backlog) = pool.queue.backlog(spec.row) else {
            return 0;
        };
        let serving = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.serves(spec.model));
        let ready_count = serving.filter(|endpoint| endpoint.ready).count() as u64;
        let ready_count = to_f64(ready_count.max(1));
        let whole_queue_us = to_f64(backlog.total_us) / ready_count;
        let share = to_f64(backlog.flow_weight_milli) / to_f64(backlog.total_weight_milli.max(1));
        let own_share_us = to_f64(backlog.flow_us) / (ready_count * share);
        let rate = backlog.virtual_time_rate.filter(|&rate| rate > 0.0);
        let fair_us = rate.map(|rate| to_f64(backlog.ahead_virtual_us) / rate);
        let shared_us = whole_queue_us.max(fair_us.unwrap_or(0.0)).min(own_share_us);
        to_u64(shared_us.max(self.concurrency_limit_wait_us(spec.row, backlog.flow_us)))
    }

    /// Predicted wait caused by the row's own limit of running requests.
    fn concurrency_limit_wait_us(&self, row: RowIndex, backlog_us: u64) -> f64 {
        let row = self.row(row);
        let Some(limits) = &row.limits else {
            return 0.0;
        };
        if row.running < limits.running_max || row.running == 0 {
            return 0.0;
        }
        // Each of `running_max` running requests takes at least its own engine time.
        to_f64(backlog_us) / f64::from(limits.running_max.max(1))
    }

    /// Handles a known request. If the cancellation of its permit is in flight, this confirms it.
    fn handle_repeated_request(&mut self, now_us: u64, request: RequestId) {
        let Some(&number) = self.running.get(&request) else {
            return;
        };
        if self.permits[&number].is_cancelling {
            self.end_permit(now_us, number, crate::PermitEnd::Cancelled, 0);
        }
    }

    /// Time until the predicted wait falls to half of the longest accepted wait.
    fn retry_after_ms(&self, spec: &RequestSpec) -> u64 {
        let limits = self.row(spec.row).limits.as_ref();
        let allowed_ms = limits.map_or(0, |limits| limits.queueing_ms_max);
        let predicted_ms = self.predicted_wait_us(spec) / US_PER_MS;
        let accepted_ms = to_u64(to_f64(allowed_ms) * self.settings.wait_fraction_max);
        let excess_ms = predicted_ms.saturating_sub(accepted_ms / 2);
        excess_ms.clamp(RETRY_AFTER_MS_MIN, RETRY_AFTER_MS_MAX)
    }
}
