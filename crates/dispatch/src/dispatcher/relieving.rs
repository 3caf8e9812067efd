use names::{EndpointId, PermitId};

use super::Dispatcher;
use crate::{Action, EndpointLoad};

/// Part of a new measurement in a pool's running average.
const AVERAGE_PART: f64 = 0.05;

impl Dispatcher {
    /// Takes a load report; an engine that holds back sequences loses one that runs elsewhere.
    pub(super) fn report(
        &mut self,
        now_us: u64,
        age_us: u64,
        id: EndpointId,
        report: &EndpointLoad,
        actions: &mut Vec<Action>,
    ) {
        let Ok(index) = self.endpoint_index(id) else {
            return;
        };
        let goal_us = self.settings.token_interval_goal_us;
        let endpoint = &mut self.endpoints[index];
        let preempting = report.preemptions > endpoint.report.preemptions;
        endpoint.observe(report, goal_us);
        self.average_token_us(index);
        if report.waiting == 0 && !preempting {
            return;
        }
        let since_us = now_us.saturating_sub(age_us);
        if let Some(number) = self.movable(now_us, index, since_us) {
            self.cancel(number, actions);
        }
    }

    fn average_token_us(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        let (Some(token_us), Some(profile)) = (endpoint.token_us(), &endpoint.profile) else {
            return;
        };
        let pool = self.pool_index(profile.model);
        let average_us = &mut self.pools[pool].token_us;
        *average_us += AVERAGE_PART * (token_us - *average_us);
    }

    fn cancel(&mut self, number: PermitId, actions: &mut Vec<Action>) {
        let permit = self.permits.get_mut(&number).expect("the permit is known");
        assert!(
            permit.generated_tokens == 0,
            "a permit that delivered tokens is cancelled"
        );
        permit.cancelling = true;
        actions.push(Action::Cancel { permit: number });
    }

    /// The last permit without a token that the report covers and another endpoint has room for.
    fn movable(&mut self, now_us: u64, index: usize, since_us: u64) -> Option<PermitId> {
        let unstarted = self.endpoints[index].unstarted.clone();
        let number = unstarted.into_iter().rev().find(|number| {
            let permit = &self.permits[number];
            !permit.cancelling && !permit.withdrawn && permit.granted_us < since_us
        })?;
        let work = self.permits[&number].work.clone();
        let pool = self.pool_index(work.model);
        let first = self.rotation();
        let open = self.open_endpoints(now_us, pool, first);
        let place = self.place(&open, &work)?;
        (place.endpoint != self.endpoints[index].id).then_some(number)
    }
}
