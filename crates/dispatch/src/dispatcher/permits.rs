use names::{EndpointId, PermitId};

use super::Dispatcher;
use crate::PermitEnd;
use crate::forecast::Forecast;
use crate::lengths::LengthObservation;
use crate::number::{difference, real, whole};
use crate::permit::{ActivePermit, Permit, ReportedPermit};
use crate::work::Work;

impl Dispatcher {
    /// Takes over permits of an earlier owner, as the entries report them.
    ///
    /// A permit that is already known is left as it is, and so is a request that already runs. A
    /// request that waits runs from then on.
    pub fn adopt_permits(&mut self, now_us: u64, held: &[ReportedPermit]) {
        for report in held {
            let known = self.permits.contains_key(&report.permit);
            if known || self.running.contains_key(&report.request) {
                continue;
            }
            if self.queued.contains_key(&report.request) {
                self.unqueue(report.request);
            }
            let demand = &report.demand;
            let row = self.row_index(demand.customer, demand.kind);
            let work = Work::new(demand, row, now_us, self.next_sequence);
            self.next_sequence += 1;
            self.next_permit = self.next_permit.max(report.permit.0 + 1);
            let permit = self.adopted(now_us, report, work);
            self.endpoint_mut(report.endpoint);
            self.start(now_us, report.permit, permit);
            self.progress(now_us, report.permit, report.generated_tokens);
        }
    }

    /// All permits that have not ended.
    pub fn permits(&self) -> impl Iterator<Item = ActivePermit> {
        self.permits.iter().map(|(&number, permit)| ActivePermit {
            endpoint: permit.endpoint,
            generated_tokens: permit.generated_tokens,
            granted_us: permit.granted_us,
            permit: number,
            request: permit.request,
        })
    }

    pub(super) fn cached(&mut self, endpoint: EndpointId, hashes: &[u64]) {
        let Ok(index) = self.endpoint_index(endpoint) else {
            return;
        };
        let retention = &mut self.endpoints[index].retention;
        for &hash in hashes {
            self.placement.cached(endpoint, retention, hash);
        }
    }

    pub(super) fn finish_failed(&mut self, now_us: u64, number: PermitId) {
        let generated_tokens = self.permits[&number].generated_tokens;
        self.finish(now_us, number, PermitEnd::Failed, generated_tokens);
    }

    /// Ends a permit; one that is not known has ended before.
    pub(super) fn finish(&mut self, now_us: u64, number: PermitId, end: PermitEnd, generated: u32) {
        let Some(permit) = self.permits.get(&number) else {
            return;
        };
        if generated > permit.generated_tokens {
            self.grow(now_us, number, generated);
        }
        let permit = self.permits.remove(&number).expect("the permit is known");
        self.running.remove(&permit.request);
        self.release(number, &permit);
        self.settle(now_us, &permit);
        self.learn(now_us, &permit, end);
        let pause_us = self.settings.pause_after_refusal_us;
        let endpoint = self.endpoint_mut(permit.endpoint);
        match end {
            PermitEnd::Cancelled => {}
            PermitEnd::Completed => endpoint.succeeded(permit.granted_us),
            PermitEnd::Failed => endpoint.failed(now_us, pause_us),
            PermitEnd::Refused => endpoint.paused_until_us = now_us + pause_us,
        }
        let row = permit.work.row;
        if permit.waits_again(end) {
            self.queue_again(now_us, permit);
        }
        self.refresh_row(now_us, row);
    }

    /// Takes news of a generation's length; says whether it made room for others.
    pub(super) fn progress(
        &mut self,
        now_us: u64,
        number: PermitId,
        generated_tokens: u32,
    ) -> bool {
        let Some(permit) = self.permits.get(&number) else {
            return false;
        };
        let started = permit.generated_tokens > 0;
        if generated_tokens <= permit.generated_tokens {
            return false;
        }
        self.grow(now_us, number, generated_tokens);
        self.forecast_again(number);
        let permit = self.permits.get_mut(&number).expect("the permit is known");
        permit.cancelling = false;
        let row = permit.work.row;
        let overrun_us = difference(whole(permit.used_us), permit.charged_us);
        if overrun_us > 0 {
            permit.charged_us = permit.charged_us.saturating_add_signed(overrun_us);
            self.correct(row, overrun_us);
        }
        !started
    }

    /// Puts a permit in force.
    pub(super) fn start(&mut self, now_us: u64, number: PermitId, permit: Permit) {
        let row = permit.work.row;
        let charged_us = permit.charged_us;
        let weighted_us = self.row(row).weighted_us(charged_us);
        let known = self.row_mut(row);
        known.running += 1;
        known.charge(charged_us, permit.work.urgent);
        if let Some(bucket) = &mut known.bucket {
            bucket.take(now_us, permit.taken_tokens);
        }
        self.move_flows(row, i64::try_from(weighted_us).unwrap_or(i64::MAX));
        self.occupy(number, &permit);
        let doubled = self.running.insert(permit.request, number);
        assert!(doubled.is_none(), "a request has two permits");
        let doubled = self.permits.insert(number, permit);
        assert!(doubled.is_none(), "a permit number was used twice");
        self.refresh_row(now_us, row);
    }

    fn adopted(&self, now_us: u64, report: &ReportedPermit, work: Work) -> Permit {
        let prediction = self.predict(&work, 0);
        let prompt_tokens = u64::from(work.prompt_tokens);
        Permit {
            cancelling: false,
            charged_us: 0,
            endpoint: report.endpoint,
            forecast: Forecast::of(&prediction, prompt_tokens),
            generated_tokens: 0,
            granted_us: now_us,
            known_tokens: prompt_tokens,
            prefill_tokens: prompt_tokens,
            request: report.request,
            taken_tokens: 0.0,
            used_us: 0.0,
            withdrawn: false,
            work,
        }
    }

    /// Replaces a permit's forecast and known size by those that follow from its length.
    fn forecast_again(&mut self, number: PermitId) {
        let permit = &self.permits[&number];
        let generated_tokens = permit.generated_tokens;
        let used_tokens = u64::from(permit.work.prompt_tokens) + u64::from(generated_tokens);
        let forecast = Forecast::of(&self.predict(&permit.work, generated_tokens), used_tokens);
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint is known");
        let endpoint = &mut self.endpoints[index];
        let permit = self.permits.get_mut(&number).expect("the permit is known");
        let known_tokens = endpoint.occupied_tokens(used_tokens);
        endpoint.forecast.subtract(&permit.forecast);
        endpoint.forecast.add(&forecast);
        endpoint.known_tokens = endpoint.known_tokens - permit.known_tokens + known_tokens;
        permit.forecast = forecast;
        permit.known_tokens = known_tokens;
    }

    /// Counts new tokens of a permit.
    fn grow(&mut self, now_us: u64, number: PermitId, generated_tokens: u32) {
        let permit = self.permits.get_mut(&number).expect("the permit is known");
        let index = self
            .endpoints
            .binary_search_by_key(&permit.endpoint, |known| known.id)
            .expect("a permit's endpoint is known");
        let endpoint = &mut self.endpoints[index];
        if permit.generated_tokens == 0 {
            endpoint.prefill_tokens -= permit.prefill_tokens;
            endpoint.unstarted.retain(|&unstarted| unstarted != number);
        }
        let observation = LengthObservation {
            before_tokens: permit.generated_tokens,
            generated_tokens,
            now_us,
        };
        let known = &mut self.rows[permit.work.row.0 as usize];
        self.lengths
            .pass(known.kind, &mut known.lengths, observation);
        let token_us = endpoint.token_us().unwrap_or(self.settings.token_us);
        permit.used_us += f64::from(generated_tokens - permit.generated_tokens) * token_us;
        permit.generated_tokens = generated_tokens;
    }

    fn learn(&mut self, now_us: u64, permit: &Permit, end: PermitEnd) {
        let known = &mut self.rows[permit.work.row.0 as usize];
        let generated_tokens = permit.generated_tokens;
        self.lengths.forget(known.kind, &mut known.lengths, now_us);
        if end != PermitEnd::Completed || generated_tokens >= permit.work.max_tokens {
            return;
        }
        let observation = LengthObservation {
            before_tokens: generated_tokens,
            generated_tokens,
            now_us,
        };
        self.lengths
            .end(known.kind, &mut known.lengths, observation);
    }

    fn occupy(&mut self, number: PermitId, permit: &Permit) {
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint is known");
        let endpoint = &mut self.endpoints[index];
        endpoint.running += 1;
        endpoint.known_tokens += permit.known_tokens;
        endpoint.forecast.add(&permit.forecast);
        endpoint.prefill_tokens += permit.prefill_tokens;
        endpoint.unstarted.push(number);
        let capacity_tokens = endpoint
            .profile
            .as_ref()
            .map_or(0, |profile| profile.memory_tokens);
        let shared_blocks = self.placement.place(
            permit.endpoint,
            &mut endpoint.retention,
            &permit.work.prefix,
            permit.prefill_tokens,
            capacity_tokens,
        );
        endpoint.shared_blocks += shared_blocks;
    }

    fn release(&mut self, number: PermitId, permit: &Permit) {
        let index = self
            .endpoint_index(permit.endpoint)
            .expect("a permit's endpoint is known");
        let endpoint = &mut self.endpoints[index];
        endpoint.running -= 1;
        endpoint.known_tokens -= permit.known_tokens;
        endpoint.forecast.subtract(&permit.forecast);
        if permit.generated_tokens == 0 {
            endpoint.prefill_tokens -= permit.prefill_tokens;
            endpoint.unstarted.retain(|&unstarted| unstarted != number);
        }
        let shared_blocks = self.placement.release(permit.endpoint, &permit.work.prefix);
        endpoint.shared_blocks -= shared_blocks;
        endpoint.retention.clock_tokens += u64::from(permit.generated_tokens);
    }

    /// Charges what was really used, and gives back what was not.
    fn settle(&mut self, now_us: u64, permit: &Permit) {
        let row = permit.work.row;
        self.correct(row, difference(whole(permit.used_us), permit.charged_us));
        let generated_tokens = f64::from(permit.generated_tokens);
        let known = self.row_mut(row);
        known.running -= 1;
        if let Some(bucket) = &mut known.bucket {
            bucket.take(now_us, generated_tokens - permit.taken_tokens);
        }
    }

    /// Engine time that a request is expected to take.
    pub(super) fn expected_cost_us(&self, pool: usize, work: &Work) -> u64 {
        let decode_us = self.predict(work, 0).mean_tokens() * self.pools[pool].token_us;
        let prefill_us = real(u64::from(work.prompt_tokens)) * self.settings.prefill_us_per_token;
        whole(prefill_us + decode_us).max(1)
    }
}
