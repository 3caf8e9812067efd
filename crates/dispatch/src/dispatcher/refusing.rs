use names::RequestId;

use super::{Dispatcher, Queued};
use crate::number::{real, whole};
use crate::permit::Permit;
use crate::work::{RowIndex, Work};
use crate::{Action, Demand, RefusalReason};

/// Shortest time after which a repeat is suggested.
const RETRY_AFTER_MS_MIN: u64 = 100;

/// Longest time after which a repeat is suggested.
const RETRY_AFTER_MS_MAX: u64 = 60_000;

const US_PER_MS: u64 = 1_000;

impl Dispatcher {
    /// Refuses requests that waited as long as they may.
    pub(super) fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while let Some(&(at_us, request)) = self.expiries.first()
            && at_us <= now_us
        {
            let work = self.queued[&request].work.clone();
            let retry_after_ms = self.retry_after_ms(&work);
            self.unqueue(request);
            self.unstick();
            actions.push(Action::Refuse {
                reason: RefusalReason::WaitedTooLong,
                request,
                retry_after_ms,
            });
        }
    }

    /// Grants, queues or refuses a new request.
    pub(super) fn request(
        &mut self,
        now_us: u64,
        request: RequestId,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        if self.queued.contains_key(&request) || self.running.contains_key(&request) {
            self.repeat(now_us, request);
            self.unstick();
            return self.grant_all(now_us, actions);
        }
        if let Err(refusal) = self.enqueue(now_us, request, demand) {
            actions.push(refusal);
            return self.grant_all(now_us, actions);
        }
        self.unstick_for(request);
        self.grant_all(now_us, actions);
        if let Some(reason) = self.overload(now_us, request) {
            let work = self.unqueue(request).work;
            let retry_after_ms = self.retry_after_ms(&work);
            actions.push(Action::Refuse {
                reason,
                request,
                retry_after_ms,
            });
        }
    }

    /// Takes a request out of the queue.
    pub(super) fn unqueue(&mut self, request: RequestId) -> Queued {
        let queued = self.queued.remove(&request).expect("the request waits");
        self.expiries.remove(&(queued.expires_us, request));
        let pool = self.pool_index(queued.work.model);
        self.pools[pool].queue.remove(queued.position());
        self.row_mut(queued.work.row).queued -= 1;
        queued
    }

    pub(super) fn withdraw(&mut self, request: RequestId) {
        if self.queued.contains_key(&request) {
            self.unqueue(request);
        } else if let Some(number) = self.running.get(&request) {
            let permit = self.permits.get_mut(number).expect("the permit is known");
            permit.withdrawn = true;
        }
    }

    /// Queues the request of a cancelled permit at its old place.
    pub(super) fn queue_again(&mut self, now_us: u64, permit: Permit) {
        self.insert(now_us, permit.request, permit.work);
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
        let work = Work::new(demand, row, now_us, self.next_sequence);
        self.next_sequence += 1;
        self.insert(now_us, request, work);
        Ok(())
    }

    fn insert(&mut self, now_us: u64, request: RequestId, work: Work) {
        let row = work.row;
        let pool = self.pool_index(work.model);
        let cost_us = self.expected_cost_us(pool, &work);
        let limits = self.row(row).limits.as_ref();
        let wait_us_max =
            limits.map_or(0, |limits| limits.queueing_ms_max.saturating_mul(US_PER_MS));
        let expires_us = work
            .deadline_us
            .min(work.arrived_us.saturating_add(wait_us_max));
        let queued = Queued {
            cost_us,
            expires_us,
            passed_over_us: None,
            work,
        };
        let open_us = self.row(row).open_us(now_us);
        let open = open_us.is_some_and(|at_us| at_us <= now_us);
        let weight_milli = self.weight_milli(row);
        let position = queued.position();
        self.pools[pool]
            .queue
            .push(now_us, request, position, weight_milli, open);
        self.expiries.insert((expires_us, request));
        self.queued.insert(request, queued);
        self.row_mut(row).queued += 1;
        self.refresh_row(now_us, row);
    }

    /// Memory of the largest ready endpoint, if any is ready.
    fn largest_memory_tokens(&self, pool: usize) -> Option<u64> {
        let model = self.pools[pool].model;
        let members = self.endpoints.iter();
        members
            .filter(|endpoint| endpoint.ready && endpoint.serves(model))
            .filter_map(|endpoint| endpoint.profile.as_ref())
            .map(|profile| profile.memory_tokens)
            .max()
    }

    /// Why a request that found no room must not wait.
    fn overload(&self, now_us: u64, request: RequestId) -> Option<RefusalReason> {
        let queued = self.queued.get(&request)?;
        let row = self.row(queued.work.row);
        let limits = row.limits.as_ref()?;
        if row.queued > limits.queued_max {
            return Some(RefusalReason::QueueFull);
        }
        if queued.expires_us <= now_us {
            return Some(RefusalReason::WaitedTooLong);
        }
        let allowed_us = real(queued.expires_us.saturating_sub(now_us));
        let predicted_us = real(self.predicted_wait_us(&queued.work));
        let part = self.settings.wait_part_max;
        (predicted_us > allowed_us * part).then_some(RefusalReason::Overload)
    }

    /// Predicted wait of the last request of a flow.
    fn predicted_wait_us(&self, work: &Work) -> u64 {
        let found = self.pools.iter().find(|pool| pool.model == work.model);
        let Some(pool) = found else {
            return 0;
        };
        let Some(backlog) = pool.queue.backlog(work.row) else {
            return 0;
        };
        let serving = self.endpoints.iter().filter(|e| e.serves(work.model));
        let ready = serving.filter(|endpoint| endpoint.ready).count() as u64;
        let ready = real(ready.max(1));
        let all_us = real(backlog.total_us) / ready;
        let part = real(backlog.flow_weight_milli) / real(backlog.total_weight_milli.max(1));
        let own_us = real(backlog.flow_us) / (ready * part);
        let paced_us = backlog.pace.filter(|&pace| pace > 0.0);
        let paced_us = paced_us.map(|pace| real(backlog.ahead_virtual_us) / pace);
        let shared_us = all_us.max(paced_us.unwrap_or(0.0)).min(own_us);
        whole(shared_us.max(self.limited_wait_us(work.row, backlog.flow_us)))
    }

    /// Wait that a row's own limit of running requests causes.
    fn limited_wait_us(&self, row: RowIndex, backlog_us: u64) -> f64 {
        let known = self.row(row);
        let Some(limits) = &known.limits else {
            return 0.0;
        };
        if known.running < limits.running_max || known.running == 0 {
            return 0.0;
        }
        // A running request takes at least its own engine time.
        real(backlog_us) / f64::from(limits.running_max.max(1))
    }

    fn repeat(&mut self, now_us: u64, request: RequestId) {
        let Some(&number) = self.running.get(&request) else {
            return;
        };
        if self.permits[&number].cancelling {
            self.finish(now_us, number, crate::PermitEnd::Cancelled, 0);
        }
    }

    /// Time until the wait is predicted to be half of what is accepted.
    fn retry_after_ms(&self, work: &Work) -> u64 {
        let limits = self.row(work.row).limits.as_ref();
        let allowed_ms = limits.map_or(0, |limits| limits.queueing_ms_max);
        let predicted_ms = self.predicted_wait_us(work) / US_PER_MS;
        let accepted_ms = whole(real(allowed_ms) * self.settings.wait_part_max);
        let excess_ms = predicted_ms.saturating_sub(accepted_ms / 2);
        excess_ms.clamp(RETRY_AFTER_MS_MIN, RETRY_AFTER_MS_MAX)
    }
}
