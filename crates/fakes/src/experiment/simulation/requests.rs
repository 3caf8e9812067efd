use names::RequestId;

use super::{Simulation, SimulationEvent};
use crate::experiment::metrics::GenerationStall;
use crate::experiment::simulation::messages::{PERMIT_BYTES, PolicyMessage};

/// Mean time between tokens up to which a completed generation counts as goodput.
const TOKEN_INTERVAL_US_MAX: u64 = 100_000;
const TOKEN_EVENT_BYTES: u64 = 96;
const US_PER_MS: u64 = 1_000;

/// A client's request and what the client has received.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestState {
    pub(super) attempts: usize,
    pub(super) execution: Option<usize>,
    /// Id of the last attempt.
    pub(super) id: RequestId,
    pub(super) is_closed: bool,
    last_token_us: u64,
    stall_us: u64,
    tokens: u32,
    /// Tokens received within the arrival window.
    tokens_in_window: u32,
}

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, request_index: usize) {
        let kind = &self.load.kinds[self.arrivals[request_index].kind];
        let at_us = self.arrivals[request_index].at_us + kind.wait_ms_max * US_PER_MS;
        self.queue
            .push(at_us, SimulationEvent::ClientTimeout(request_index));
        self.metrics.requests += u64::from(!kind.service);
        self.request_permit(request_index);
    }

    pub(super) fn handle_token(&mut self, execution: usize) {
        self.executions[execution].tokens += 1;
        let request_index = self.executions[execution].request_index;
        let endpoint = &self.endpoints[self.executions[execution].endpoint_index];
        if endpoint.is_service {
            return;
        }
        let (from, to) = (endpoint.region, self.arrivals[request_index].region);
        self.count_cross_region_bytes(from, to, TOKEN_EVENT_BYTES);
        let at_us = self.now_us + self.network_latency_us(from, to) + self.load.latency_us.client;
        let request_state = &mut self.requests[request_index];
        if request_state.tokens == 0 {
            self.metrics
                .record_first_token(at_us - self.arrivals[request_index].at_us);
        } else {
            request_state.stall_us += self
                .metrics
                .record_token_gap(at_us - request_state.last_token_us);
        }
        request_state.last_token_us = at_us;
        request_state.tokens += 1;
        request_state.tokens_in_window += u32::from(at_us <= self.load.duration_us());
    }

    /// Records a completed request and closes it.
    pub(super) fn handle_completion(&mut self, execution: usize) {
        let request_index = self.executions[execution].request_index;
        let arrival = &self.arrivals[request_index];
        let kind = &self.load.kinds[arrival.kind];
        let endpoint_region = self.endpoints[self.executions[execution].endpoint_index].region;
        let latency_us =
            self.network_latency_us(endpoint_region, arrival.region) + self.load.latency_us.client;
        let duration_us = self.now_us + latency_us - arrival.at_us;
        if kind.service {
            self.metrics.service_call_us.saturating_record(duration_us);
            return self.close_request(request_index);
        }
        let request_state = &self.requests[request_index];
        let decode_us_max = u64::from(request_state.tokens) * TOKEN_INTERVAL_US_MAX;
        if duration_us <= kind.wait_ms_max * US_PER_MS + decode_us_max {
            self.metrics.good_tokens += u64::from(request_state.tokens_in_window);
        }
        self.metrics.completed += 1;
        self.close_request(request_index);
    }

    /// Closes a request and records the stall time of a begun generation.
    pub(super) fn close_request(&mut self, request_index: usize) {
        let request_state = &mut self.requests[request_index];
        assert!(!request_state.is_closed, "a request is closed once");
        request_state.is_closed = true;
        self.open_requests -= 1;
        if request_state.tokens > 0 {
            let customer = self.arrivals[request_index].customer;
            let stall_us = request_state.stall_us;
            self.metrics
                .stalls
                .push(GenerationStall { customer, stall_us });
        }
    }

    /// Ends a request that received no token within the time that its client waits.
    pub(super) fn handle_timeout(&mut self, request_index: usize) {
        let request_state = &self.requests[request_index];
        let execution = request_state.execution;
        let has_token = execution.is_some_and(|execution| self.executions[execution].tokens > 0);
        if request_state.is_closed || has_token {
            return;
        }
        let (kind, region) = (
            self.arrivals[request_index].kind,
            self.arrivals[request_index].region,
        );
        self.metrics.gave_up += u64::from(!self.load.kinds[kind].service);
        self.send(
            region,
            PERMIT_BYTES,
            PolicyMessage::RequestWithdrawn(request_state.id),
        );
        if let Some(execution) = execution {
            self.cancel_execution(execution);
        }
        self.close_request(request_index);
    }

    pub(super) fn handle_refusal(&mut self, request: RequestId) {
        let request_index = self.request_index_of(request);
        let request_state = &self.requests[request_index];
        if request_state.is_closed || request_state.id != request {
            return;
        }
        let service = self.load.kinds[self.arrivals[request_index].kind].service;
        self.metrics.refused += u64::from(!service);
        self.close_request(request_index);
    }
}
