use dispatch::PermitEnd;
use names::{GenerationId, PermitId};

use super::{Simulation, SimulationEvent};
use crate::engine::{EndReason, EngineEvent, EngineEventKind, GenerationRequest};
use crate::experiment::endpoints::SERVICE_STEP_MS;
use crate::experiment::simulation::messages::{PERMIT_BYTES, PolicyMessage};

/// The policy learns of a failed endpoint after this time, when its lease expires.
const LEASE_US: u64 = 3_000_000;
const PROMPT_TOKEN_BYTES: u64 = 4;

/// Execution of a request on one endpoint, under one permit.
#[derive(Debug)]
pub(super) struct Execution {
    pub(super) endpoint_index: usize,
    pub(super) permit: PermitId,
    priority: i32,
    /// Tokens in the last progress report.
    pub(super) reported_tokens: u32,
    pub(super) request_index: usize,
    /// Tokens generated so far; for a service call, its steps.
    pub(super) tokens: u32,
}

impl Execution {
    pub(super) fn new(
        request_index: usize,
        permit: PermitId,
        priority: i32,
        endpoint_index: usize,
    ) -> Self {
        Self {
            endpoint_index,
            permit,
            priority,
            reported_tokens: 0,
            request_index,
            tokens: 0,
        }
    }
}

impl Simulation<'_> {
    pub(super) fn start_execution(&mut self, execution: usize) {
        let Execution {
            request_index,
            endpoint_index,
            ..
        } = self.executions[execution];
        let request_state = &self.requests[request_index];
        if request_state.is_closed {
            return self.end_permit(execution, PermitEnd::Cancelled);
        }
        assert!(
            request_state.execution.is_none(),
            "a request has one execution at a time"
        );
        if !self.endpoints[endpoint_index].is_up {
            self.end_permit(execution, PermitEnd::Failed);
            return self.request_permit(request_index);
        }
        let arrival = &self.arrivals[request_index];
        let bytes = u64::from(arrival.prompt_tokens) * PROMPT_TOKEN_BYTES;
        self.count_cross_region_bytes(arrival.region, self.endpoints[endpoint_index].region, bytes);
        let generation_request = self.generation_request(execution);
        let engine = &mut self.endpoints[endpoint_index].engine;
        engine.advance(self.now_us, &mut self.engine_events);
        let submitted = engine.submit(self.now_us, generation_request, &mut self.engine_events);
        if submitted.is_err() {
            self.end_permit(execution, PermitEnd::Refused);
            return self.request_permit(request_index);
        }
        self.requests[request_index].execution = Some(execution);
        self.running.insert(execution);
        self.process_engine_events(endpoint_index);
    }

    pub(super) fn finish_engine_step(&mut self, endpoint_index: usize) {
        if self.endpoints[endpoint_index].step_end_us == Some(self.now_us) {
            self.advance(endpoint_index);
        }
    }

    /// Cancels an execution that the policy withdraws, unless it has generated a token.
    pub(super) fn cancel_if_no_tokens(&mut self, execution: usize) {
        if self.running.contains(&execution) && self.executions[execution].tokens == 0 {
            self.cancel_execution(execution);
        }
    }

    /// Ends the permit of an execution and cancels its generation on the engine.
    pub(super) fn cancel_execution(&mut self, execution: usize) {
        self.end_permit(execution, PermitEnd::Cancelled);
        let endpoint_index = self.executions[execution].endpoint_index;
        self.advance(endpoint_index);
        let engine = &mut self.endpoints[endpoint_index].engine;
        engine.cancel(
            self.now_us,
            generation_id(execution),
            &mut self.engine_events,
        );
        self.process_engine_events(endpoint_index);
    }

    pub(super) fn fail_endpoint(&mut self, endpoint_index: usize) {
        self.advance(endpoint_index);
        self.endpoints[endpoint_index].is_up = false;
        self.endpoints[endpoint_index].step_end_us = None;
        for generation in self.endpoints[endpoint_index].engine.reset() {
            let execution = execution_index(generation);
            let Execution {
                request_index,
                tokens,
                ..
            } = self.executions[execution];
            self.end_permit(execution, PermitEnd::Failed);
            if tokens > 0 {
                self.metrics.lost += 1;
                self.close_request(request_index);
            } else {
                self.request_permit(request_index);
            }
        }
        let lapse = SimulationEvent::PolicyDelivery(PolicyMessage::EndpointLapsed(endpoint_index));
        self.queue.push(self.now_us + LEASE_US, lapse);
    }

    fn advance(&mut self, endpoint_index: usize) {
        let engine = &mut self.endpoints[endpoint_index].engine;
        engine.advance(self.now_us, &mut self.engine_events);
        self.process_engine_events(endpoint_index);
    }

    /// Ends the permit of an execution and notifies the policy.
    fn end_permit(&mut self, execution: usize, end: PermitEnd) {
        self.running.remove(&execution);
        let Execution {
            request_index,
            permit,
            endpoint_index,
            tokens,
            ..
        } = self.executions[execution];
        if self.requests[request_index].execution == Some(execution) {
            self.requests[request_index].execution = None;
        }
        let tokens_max = if self.endpoints[endpoint_index].is_service {
            1
        } else {
            u32::MAX
        };
        let message = PolicyMessage::PermitEnded(permit, end, tokens.min(tokens_max));
        self.send(self.arrivals[request_index].region, PERMIT_BYTES, message);
    }

    fn generation_request(&self, execution: usize) -> GenerationRequest {
        let Execution {
            request_index,
            priority,
            endpoint_index,
            ..
        } = self.executions[execution];
        let arrival = &self.arrivals[request_index];
        let steps = arrival.length_tokens.div_ceil(SERVICE_STEP_MS);
        let is_service = self.endpoints[endpoint_index].is_service;
        GenerationRequest {
            account: arrival.customer,
            generation: generation_id(execution),
            length_tokens: if is_service {
                steps
            } else {
                arrival.length_tokens
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            priority,
            prompt_tokens: arrival.prompt_tokens,
        }
    }

    /// Handles the events of an endpoint's engine and schedules the end of its next step.
    fn process_engine_events(&mut self, endpoint_index: usize) {
        let mut engine_events = std::mem::take(&mut self.engine_events);
        for event in engine_events.drain(..) {
            self.handle_engine_event(event);
        }
        self.engine_events = engine_events;
        let step_end_us = self.endpoints[endpoint_index].engine.next_step_end_us();
        if step_end_us != self.endpoints[endpoint_index].step_end_us {
            self.endpoints[endpoint_index].step_end_us = step_end_us;
            if let Some(at_us) = step_end_us {
                self.queue
                    .push(at_us, SimulationEvent::EngineStep(endpoint_index));
            }
        }
    }

    fn handle_engine_event(&mut self, event: EngineEvent) {
        let execution = execution_index(event.generation);
        if !self.running.contains(&execution) {
            return;
        }
        match event.kind {
            EngineEventKind::Ended(EndReason::Cancelled) | EngineEventKind::State(_) => {}
            EngineEventKind::Ended(_) => {
                self.end_permit(execution, PermitEnd::Completed);
                self.handle_completion(execution);
            }
            EngineEventKind::Token(_) => self.handle_token(execution),
        }
    }
}

fn execution_index(generation: GenerationId) -> usize {
    usize::try_from(generation.0).expect("execution indexes fit a usize")
}

fn generation_id(execution: usize) -> GenerationId {
    GenerationId(execution as u128)
}
