use names::{EndpointId, PermitId};

use super::Dispatcher;
use crate::{Action, EndpointLoad};

/// Weight of a new sample in a pool's moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

impl Dispatcher {
    /// Records a load report. If sequences wait or were preempted, cancels a relocatable permit.
    pub(super) fn record_load_report(
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
        let is_preempting = report.preemptions > endpoint.load.preemptions;
        endpoint.record_load(report, goal_us);
        self.update_token_us(index);
        if report.waiting == 0 && !is_preempting {
            return;
        }
        let measured_us = now_us.saturating_sub(age_us);
        if let Some(number) = self.relocatable_permit(now_us, index, measured_us) {
            self.cancel_permit(number, actions);
        }
    }

    fn update_token_us(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        let (Some(token_us), Some(profile)) = (endpoint.token_us(), &endpoint.profile) else {
            return;
        };
        let pool = self.pool_index(profile.model);
        let average_us = &mut self.pools[pool].token_us;
        *average_us += SMOOTHING_FACTOR * (token_us - *average_us);
    }

    fn cancel_permit(&mut self, number: PermitId, actions: &mut Vec<Action>) {
        let permit = self.permits.get_mut(&number).expect("the permit exists");
        assert!(
            permit.generated_tokens == 0,
            "a permit that generated tokens must not be cancelled"
        );
        permit.is_cancelling = true;
        actions.push(Action::Cancel { permit: number });
    }

    /// The newest permit without a token that was granted before the load was measured, if another
    /// endpoint has capacity for its request.
    fn relocatable_permit(
        &mut self,
        now_us: u64,
        index: usize,
        measured_us: u64,
    ) -> Option<PermitId> {
        let permits = self.endpoints[index].awaiting_first_token.clone();
        let number = permits.into_iter().rev().find(|number| {
            let permit = &self.permits[number];
            !permit.is_cancelling && !permit.is_withdrawn && permit.granted_us < measured_us
        })?;
        let spec = self.permits[&number].spec.clone();
        let pool = self.pool_index(spec.model);
        let first = self.random_endpoint_index();
        let available = self.available_endpoints(now_us, pool, first);
        let placement = self.find_placement(&available, &spec)?;
        (placement.endpoint != self.endpoints[index].id).then_some(number)
    }
}
