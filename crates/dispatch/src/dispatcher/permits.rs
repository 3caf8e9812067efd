use names::{EndpointId, PermitId};

use super::Dispatcher;
use crate::PermitEnd;
use crate::forecast::Forecast;
use crate::length_estimator::LengthObservation;
use crate::number::{signed_difference, to_f64, to_u64};
use crate::permit::{ActivePermit, Permit, ReportedPermit};
use crate::request_spec::RequestSpec;

impl Dispatcher {
    /// Adopts permits of an earlier owner, as the entries report them.
    ///
    /// Known permits and requests that already run are left unchanged. A queued request is removed
    /// from the queue, as it already runs.
    pub fn adopt_permits(&mut self, now_us: u64, permits: &[ReportedPermit]) {
        for report in permits {
            let is_known = self.permits.contains_key(&report.permit);
            if is_known || self.running.contains_key(&report.request) {
                continue;
            }
            if self.queued.contains_key(&report.request) {
                self.dequeue(report.request);
            }
            let demand = &report.demand;
            let row = self.row_index(demand.customer, demand.kind);
            let spec = RequestSpec::new(demand, row, now_us, self.next_arrival_number);
            self.next_arrival_number += 1;
            self.next_permit = self.next_permit.max(report.permit.0 + 1);
            let permit = self.adopted_permit(now_us, report, spec);
            self.endpoint_mut(report.endpoint);
            self.activate(now_us, report.permit, permit);
            self.record_progress(now_us, report.permit, report.generated_tokens);
        }
    }

    /// All permits that have not ended, in the order of their numbers.
    pub fn permits(&self) -> impl Iterator<Item = ActivePermit> {
        self.permits.iter().map(|(&number, permit)| ActivePermit {
            endpoint: permit.endpoint,
            generated_tokens: permit.generated_tokens,
            granted_us: permit.granted_us,
            permit: number,
            request: permit.request,
        })
    }

    pub(super) fn record_cached_blocks(&mut self, endpoint: EndpointId, hashes: &[u64]) {
        let Ok(index) = self.endpoint_index(endpoint) else {
            return;
        };
        let retention = &mut self.endpoints[index].retention;
        for &hash in hashes {
            self.prefix_index.record_cached(endpoint, retention, hash);
        }
    }

    pub(super) fn fail_permit(&mut self, now_us: u64, number: PermitId) {
        let generated_tokens = self.permits[&number].generated_tokens;
        self.end_permit(now_us, number, PermitEnd::Failed, generated_tokens);
    }

    /// Ends a permit. An unknown permit has already ended.
    pub(super) fn end_permit(
        &mut self,
        now_us: u64,
        number: PermitId,
        end: PermitEnd,
        generated_tokens: u32,
    ) {
        let Some(permit) = self.permits.get(&number) else {
            return;
        };
        if generated_tokens > permit.generated_tokens {
            self.record_generated_tokens(now_us, number, generated_tokens);
        }
        let permit = self.permits.remove(&number).expect("the permit exists");
        self.running.remove(&permit.request);
        self.remove_from_endpoint(number, &permit);
        self.settle_usage(now_us, &permit);
        self.learn_length(now_us, &permit, end);
        let pause_us = self.settings.pause_after_refusal_us;
        let endpoint = self.endpoint_mut(permit.endpoint);
        match end {
            PermitEnd::Cancelled => {}
            PermitEnd::Completed => endpoint.record_success(permit.granted_us),
            PermitEnd::Failed => endpoint.record_failure(now_us, pause_us),
            PermitEnd::Refused => endpoint.paused_until_us = now_us + pause_us,
        }
        let row = permit.spec.row;
        if permit.is_requeued_after(end) {
            self.requeue(now_us, permit);
        }
        self.update_row_flows(now_us, row);
    }

    /// Records generated tokens. Returns whether they are the first ones, as that frees capacity.
    pub(super) fn record_progress(
        &mut self,
        now_us: u64,
        number: PermitId,
        generated_tokens: u32,
    ) -> bool {
        let Some(permit) = self.permits.get(&number) else {
            return false;
        };
        let has_started = permit.generated_tokens > 0;
        if generated_tokens <= permit.generated_tokens {
            return false;
        }
        self.record_generated_tokens(now_us, number, generated_tokens);
        self.update_forecast(number);
        let permit = self.permits.get_mut(&number).expect("the permit exists");
        permit.is_cancelling = false;
        let row = permit.spec.row;
        let overrun_us = signed_difference(to_u64(permit.used_us), permit.charged_us);
        if overrun_us > 0 {
            permit.charged_us = permit.charged_us.saturating_add_signed(overrun_us);
            self.adjust_usage(row, overrun_us);
        }
        !has_started
    }

    /// Activates a permit and charges its row and endpoint.
    pub(super) fn activate(&mut self, now_us: u64, number: PermitId, permit: Permit) {
        let row = permit.spec.row;
        let charged_us = permit.charged_us;
        let weighted_us = self.row(row).weighted_us(charged_us);
        let charged_row = self.row_mut(row);
        charged_row.running += 1;
        charged_row.charge(charged_us, permit.spec.urgent);
        if let Some(bucket) = &mut charged_row.token_bucket {
            bucket.take(now_us, permit.charged_tokens);
        }
        self.charge_flows(row, i64::try_from(weighted_us).unwrap_or(i64::MAX));
        self.add_to_endpoint(number, &permit);
        let previous = self.running.insert(permit.request, number);
        assert!(previous.is_none(), "a request must not have two permits");
        let previous = self.permits.insert(number, permit);
        assert!(previous.is_none(), "a permit number must not be used twice");
        self.update_row_flows(now_us, row);
    }

    fn adopted_permit(&self, now_us: u64, report: &ReportedPermit, spec: RequestSpec) -> Permit {
        let prediction = self.predict(&spec, 0);
        let prompt_tokens = u64::from(spec.prompt_tokens);
        Permit {
            charged_tokens: 0.0,
            charged_us: 0,
            endpoint: report.endpoint,
            forecast: Forecast::of(&prediction, prompt_tokens),
            generated_tokens: 0,
            granted_us: now_us,
            is_cancelling: false,
            is_withdrawn: false,
            occupied_tokens: prompt_tokens,
            prefill_tokens: prompt_tokens,
            request: report.request,
            spec,
            used_us: 0.0,
        }
    }

    /// Updates a permit's forecast and memory use after its generation grew.
    fn update_forecast(&mut self, number: PermitId) {
        let permit = &self.permits[&number];
        let generated_tokens = permit.generated_tokens;
        let used_tokens = u64::from(permit.spec.prompt_tokens) + u64::from(generated_tokens);
        let forecast = Forecast::of(&self.predict(&permit.spec, generated_tokens), used_tokens);
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint exists");
        let endpoint = &mut self.endpoints[index];
        let permit = self.permits.get_mut(&number).expect("the permit exists");
        let occupied_tokens = endpoint.block_aligned_tokens(used_tokens);
        endpoint.forecast.subtract(&permit.forecast);
        endpoint.forecast.add(&forecast);
        endpoint.occupied_tokens =
            endpoint.occupied_tokens - permit.occupied_tokens + occupied_tokens;
        permit.forecast = forecast;
        permit.occupied_tokens = occupied_tokens;
    }

    /// Counts newly generated tokens of a permit.
    fn record_generated_tokens(&mut self, now_us: u64, number: PermitId, generated_tokens: u32) {
        let permit = self.permits.get_mut(&number).expect("the permit exists");
        let index = self
            .endpoints
            .binary_search_by_key(&permit.endpoint, |endpoint| endpoint.id)
            .expect("a permit's endpoint exists");
        let endpoint = &mut self.endpoints[index];
        if permit.generated_tokens == 0 {
            endpoint.prefill_tokens -= permit.prefill_tokens;
            endpoint
                .awaiting_first_token
                .retain(|&waiting| waiting != number);
        }
        let observation = LengthObservation {
            previous_tokens: permit.generated_tokens,
            generated_tokens,
            now_us,
        };
        let row = &mut self.rows[permit.spec.row.0 as usize];
        self.lengths
            .record_growth(row.kind, &mut row.lengths, observation);
        let token_us = endpoint
            .token_us()
            .unwrap_or(self.settings.initial_token_us);
        permit.used_us += f64::from(generated_tokens - permit.generated_tokens) * token_us;
        permit.generated_tokens = generated_tokens;
    }

    fn learn_length(&mut self, now_us: u64, permit: &Permit, end: PermitEnd) {
        let row = &mut self.rows[permit.spec.row.0 as usize];
        let generated_tokens = permit.generated_tokens;
        self.lengths.decay(row.kind, &mut row.lengths, now_us);
        if end != PermitEnd::Completed || generated_tokens >= permit.spec.max_tokens {
            return;
        }
        let observation = LengthObservation {
            previous_tokens: generated_tokens,
            generated_tokens,
            now_us,
        };
        self.lengths
            .record_end(row.kind, &mut row.lengths, observation);
    }

    fn add_to_endpoint(&mut self, number: PermitId, permit: &Permit) {
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint exists");
        let endpoint = &mut self.endpoints[index];
        endpoint.running += 1;
        endpoint.occupied_tokens += permit.occupied_tokens;
        endpoint.forecast.add(&permit.forecast);
        endpoint.prefill_tokens += permit.prefill_tokens;
        endpoint.awaiting_first_token.push(number);
        let capacity_tokens = endpoint
            .profile
            .as_ref()
            .map_or(0, |profile| profile.memory_tokens);
        let shared_blocks = self.prefix_index.acquire(
            permit.endpoint,
            &mut endpoint.retention,
            &permit.spec.prefix,
            permit.prefill_tokens,
            capacity_tokens,
        );
        endpoint.shared_blocks += shared_blocks;
    }

    fn remove_from_endpoint(&mut self, number: PermitId, permit: &Permit) {
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint exists");
        let endpoint = &mut self.endpoints[index];
        endpoint.running -= 1;
        endpoint.occupied_tokens -= permit.occupied_tokens;
        endpoint.forecast.subtract(&permit.forecast);
        if permit.generated_tokens == 0 {
            endpoint.prefill_tokens -= permit.prefill_tokens;
            endpoint
                .awaiting_first_token
                .retain(|&waiting| waiting != number);
        }
        let shared_blocks = self
            .prefix_index
            .release(permit.endpoint, &permit.spec.prefix);
        endpoint.shared_blocks -= shared_blocks;
        endpoint.retention.clock_tokens += u64::from(permit.generated_tokens);
    }

    /// Adjusts the row's charges to the resources that the permit used.
    fn settle_usage(&mut self, now_us: u64, permit: &Permit) {
        let row = permit.spec.row;
        self.adjust_usage(
            row,
            signed_difference(to_u64(permit.used_us), permit.charged_us),
        );
        let generated_tokens = f64::from(permit.generated_tokens);
        let charged_row = self.row_mut(row);
        charged_row.running -= 1;
        if let Some(bucket) = &mut charged_row.token_bucket {
            bucket.take(now_us, generated_tokens - permit.charged_tokens);
        }
    }

    /// Expected engine time of a request.
    pub(super) fn expected_cost_us(&self, pool: usize, spec: &RequestSpec) -> u64 {
        let decode_us = self.predict(spec, 0).mean_tokens() * self.pools[pool].token_us;
        let prefill_us = to_f64(u64::from(spec.prompt_tokens)) * self.settings.prefill_us_per_token;
        to_u64(prefill_us + decode_us).max(1)
    }
}
