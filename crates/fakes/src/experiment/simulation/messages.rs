use dispatch::{
    Action, CustomerIndex, Demand, EndpointLoad, Event, KindIndex, PermitEnd, RegionIndex,
};
use names::{EndpointId, PermitId, RequestId};

use super::{
    LOAD_REPORT_INTERVAL_US, PROGRESS_INTERVAL_US, Simulation, SimulationEvent, endpoint_id,
    to_usize,
};
use crate::engine::CacheUpdate;
use crate::experiment::endpoints::{ENGINE_MODEL, SERVICE_MODEL, usize_to_u32};
use crate::experiment::simulation::executions::Execution;

/// Maximum extra delay of a cache update after its load report.
const CACHE_UPDATE_DELAY_US_MAX: u64 = 1_000_000;
const HASH_BYTES: u64 = 8;
const REPORT_BYTES: u64 = 48;
const REQUEST_BYTES: u64 = 96;
const US_PER_MS: u64 = 1_000;

/// Bytes of a message about one permit.
pub(super) const PERMIT_BYTES: u64 = 24;

/// Number of tokens generated under one permit so far.
#[derive(Debug, Clone)]
pub(super) struct PermitProgress {
    generated_tokens: u32,
    permit: PermitId,
}

/// Message to the policy; a `usize` is the index of an endpoint.
#[derive(Debug)]
pub(super) enum PolicyMessage {
    CacheUpdated(usize, CacheUpdate),
    EndpointLapsed(usize),
    EndpointLeaving(usize),
    /// Endpoint, time of the measurement in microseconds, and load.
    LoadReported(usize, u64, EndpointLoad),
    /// Permit, its end, and the number of generated tokens.
    PermitEnded(PermitId, PermitEnd, u32),
    PermitRequested(RequestId),
    PermitsProgressed(Vec<PermitProgress>),
    RequestWithdrawn(RequestId),
}

impl Simulation<'_> {
    pub(super) fn deliver_message(&mut self, message: PolicyMessage) {
        match message {
            PolicyMessage::CacheUpdated(endpoint_index, update) => {
                self.deliver_cache_update(endpoint_index, &update);
            }
            PolicyMessage::PermitEnded(permit, end, generated_tokens) => {
                self.notify_policy(Event::PermitEnded {
                    end,
                    generated_tokens,
                    permit,
                });
            }
            PolicyMessage::EndpointLapsed(endpoint_index)
                if self.endpoints[endpoint_index].is_up => {}
            PolicyMessage::EndpointLapsed(endpoint_index) => {
                self.notify_policy(Event::EndpointLapsed {
                    endpoint: endpoint_id(endpoint_index),
                });
            }
            PolicyMessage::EndpointLeaving(endpoint_index) => {
                self.notify_policy(Event::EndpointLeaving {
                    endpoint: endpoint_id(endpoint_index),
                });
            }
            PolicyMessage::PermitsProgressed(progress) => self.deliver_progress(progress),
            PolicyMessage::LoadReported(endpoint_index, measured_us, load) => {
                self.deliver_load(endpoint_index, measured_us, &load);
            }
            PolicyMessage::PermitRequested(request) => {
                let demand = self.demand(self.request_index_of(request));
                self.notify_policy(Event::RequestArrived {
                    demand: &demand,
                    request,
                });
            }
            PolicyMessage::RequestWithdrawn(request) => {
                self.notify_policy(Event::RequestWithdrawn { request });
            }
        }
    }

    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Cancel { permit } => {
                let execution = self.permits[&permit];
                let region = self.arrivals[self.executions[execution].request_index].region;
                self.count_cross_region_bytes(0, region, PERMIT_BYTES);
                let at_us = self.now_us + self.policy_latency_us(region);
                self.queue
                    .push(at_us, SimulationEvent::CancelExecution(execution));
            }
            Action::Grant {
                endpoint,
                permit,
                priority,
                request,
            } => {
                self.grant(endpoint, permit, priority, request);
            }
            Action::Refuse { request, .. } => self.handle_refusal(request),
        }
    }

    /// Requests a permit from the policy, with a new request id at each attempt.
    pub(super) fn request_permit(&mut self, request_index: usize) {
        let request_state = &mut self.requests[request_index];
        let request =
            RequestId((request_state.attempts * self.arrivals.len() + request_index) as u64);
        self.metrics.retries += u64::from(request_state.attempts > 0);
        request_state.attempts += 1;
        request_state.execution = None;
        request_state.id = request;
        let region = self.arrivals[request_index].region;
        let hashes = self.arrivals[request_index].prefix_hashes.len() as u64;
        let bytes = REQUEST_BYTES + HASH_BYTES * hashes;
        self.send(region, bytes, PolicyMessage::PermitRequested(request));
    }

    /// Sends a message from a region to the policy.
    pub(super) fn send(&mut self, region: usize, bytes: u64, message: PolicyMessage) {
        if self.is_central {
            self.count_cross_region_bytes(region, 0, bytes);
        }
        let at_us = self.now_us + self.policy_latency_us(region);
        self.queue
            .push(at_us, SimulationEvent::PolicyDelivery(message));
    }

    pub(super) fn send_progress(&mut self) {
        self.queue.push(
            self.now_us + PROGRESS_INTERVAL_US,
            SimulationEvent::ProgressReport,
        );
        let mut batches = vec![Vec::new(); self.load.regions.len()];
        for &execution in &self.running {
            let execution = &mut self.executions[execution];
            if execution.tokens > execution.reported_tokens
                && !self.endpoints[execution.endpoint_index].is_service
            {
                execution.reported_tokens = execution.tokens;
                let region = self.arrivals[execution.request_index].region;
                let (generated_tokens, permit) = (execution.tokens, execution.permit);
                batches[region].push(PermitProgress {
                    generated_tokens,
                    permit,
                });
            }
        }
        for (region, batch) in batches.into_iter().enumerate() {
            let bytes = batch.len() as u64 * PERMIT_BYTES;
            self.send(region, bytes, PolicyMessage::PermitsProgressed(batch));
        }
    }

    pub(super) fn send_load_report(&mut self, endpoint_index: usize) {
        self.queue.push(
            self.now_us + LOAD_REPORT_INTERVAL_US,
            SimulationEvent::LoadReport(endpoint_index),
        );
        if !self.endpoints[endpoint_index].is_up {
            return;
        }
        let load = self.endpoints[endpoint_index].engine.load(self.now_us);
        let update = self.endpoints[endpoint_index].engine.take_cache_update();
        let report = PolicyMessage::LoadReported(endpoint_index, self.now_us, load);
        let at_us = self.now_us + self.scenario.report_lag_us();
        self.queue
            .push(at_us, SimulationEvent::PolicyDelivery(report));
        let other_regions = self.load.regions.len() as u64 - 1;
        let copies = if self.is_central { 1 } else { other_regions };
        self.metrics.cross_region_bytes += REPORT_BYTES * copies;
        let delay_us = self.random.uniform_below(CACHE_UPDATE_DELAY_US_MAX);
        if self.random.uniform_unit() >= self.scenario.gap_fraction() {
            let update = PolicyMessage::CacheUpdated(endpoint_index, update);
            self.queue
                .push(at_us + delay_us, SimulationEvent::PolicyDelivery(update));
        }
    }

    fn deliver_cache_update(&mut self, endpoint_index: usize, update: &CacheUpdate) {
        let (added, evicted) = (update.added.as_slice(), update.evicted.as_slice());
        let endpoint = endpoint_id(endpoint_index);
        self.notify_policy(Event::BlocksEvicted {
            endpoint,
            hashes: evicted,
        });
        self.notify_policy(Event::BlocksCached {
            endpoint,
            hashes: added,
        });
    }

    fn deliver_progress(&mut self, progress: Vec<PermitProgress>) {
        for PermitProgress {
            generated_tokens,
            permit,
        } in progress
        {
            self.notify_policy(Event::GenerationProgressed {
                generated_tokens,
                permit,
            });
        }
    }

    fn deliver_load(&mut self, endpoint_index: usize, measured_us: u64, load: &EndpointLoad) {
        let age_us = self.now_us - measured_us;
        let endpoint = endpoint_id(endpoint_index);
        self.notify_policy(Event::LoadReported {
            age_us,
            endpoint,
            load,
        });
    }

    fn demand(&self, request_index: usize) -> Demand {
        let arrival = &self.arrivals[request_index];
        let kind = &self.load.kinds[arrival.kind];
        let wait_us = kind.wait_ms_max * US_PER_MS;
        Demand {
            customer: CustomerIndex(usize_to_u32(arrival.customer)),
            deadline_us: arrival.at_us + wait_us,
            kind: KindIndex(usize_to_u32(arrival.kind)),
            max_tokens: if kind.service { 1 } else { kind.max_tokens },
            model: if kind.service {
                SERVICE_MODEL
            } else {
                ENGINE_MODEL
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            prompt_tokens: arrival.prompt_tokens,
            region: RegionIndex(usize_to_u32(arrival.region)),
            urgent: arrival.urgent,
        }
    }

    fn grant(&mut self, endpoint: EndpointId, permit: PermitId, priority: i32, request: RequestId) {
        let request_index = self.request_index_of(request);
        let region = self.arrivals[request_index].region;
        let endpoint_index = to_usize(endpoint.0);
        let service = self.load.kinds[self.arrivals[request_index].kind].service;
        assert_eq!(
            self.endpoints[endpoint_index].is_service, service,
            "a permit for a service call names a service, and one for a generation an engine"
        );
        let execution = self.executions.len();
        self.executions.push(Execution::new(
            request_index,
            permit,
            priority,
            endpoint_index,
        ));
        let previous = self.permits.insert(permit, execution);
        assert!(previous.is_none(), "a permit id is used once");
        if self.is_central {
            self.count_cross_region_bytes(0, region, PERMIT_BYTES);
        }
        let latency_us = self.policy_latency_us(region)
            + self.network_latency_us(region, self.endpoints[endpoint_index].region);
        self.queue.push(
            self.now_us + latency_us,
            SimulationEvent::ExecutionStart(execution),
        );
    }
}
