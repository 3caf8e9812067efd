use dispatch::PermitEnd;
use names::{GenerationId, PermitId};

use super::{Item, Simulation};
use crate::engine::{EndReason, EngineEvent, EngineEventKind, GenerationRequest};
use crate::experiment::simulation::messages::{Message, PERMIT_BYTES};
use crate::experiment::sites::SERVICE_STEP_MS;

const LEASE_US: u64 = 3_000_000;
const PROMPT_TOKEN_BYTES: u64 = 4;

/// One permit's run on an endpoint.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) arrival: usize,
    pub(super) permit: PermitId,
    priority: i32,
    pub(super) reported_tokens: u32,
    pub(super) site: usize,
    pub(super) tokens: u32,
}

impl Flight {
    pub(super) fn new(arrival: usize, permit: PermitId, priority: i32, site: usize) -> Self {
        Self {
            arrival,
            permit,
            priority,
            reported_tokens: 0,
            site,
            tokens: 0,
        }
    }
}

impl Simulation<'_> {
    pub(super) fn start(&mut self, flight: usize) {
        let Flight { arrival, site, .. } = self.flights[flight];
        let caller = &self.callers[arrival];
        if caller.done {
            return self.finish(flight, PermitEnd::Cancelled);
        }
        assert!(
            caller.flight.is_none(),
            "a request runs in one place at a time"
        );
        if !self.sites[site].up {
            self.finish(flight, PermitEnd::Failed);
            return self.ask(arrival);
        }
        let wanted = &self.arrivals[arrival];
        let bytes = u64::from(wanted.prompt_tokens) * PROMPT_TOKEN_BYTES;
        self.count_bytes(wanted.region, self.sites[site].region, bytes);
        let job = self.job(flight);
        let engine = &mut self.sites[site].engine;
        engine.advance(self.now_us, &mut self.outputs);
        let submitted = engine.submit(self.now_us, job, &mut self.outputs);
        if submitted.is_err() {
            self.finish(flight, PermitEnd::Refused);
            return self.ask(arrival);
        }
        self.callers[arrival].flight = Some(flight);
        self.live.insert(flight);
        self.settle(site);
    }

    pub(super) fn step(&mut self, site: usize) {
        if self.sites[site].step_us == Some(self.now_us) {
            self.advance(site);
        }
    }

    /// Cancels at the engine what the policy wants to move elsewhere, unless tokens came.
    pub(super) fn cancel_ordered(&mut self, flight: usize) {
        if self.live.contains(&flight) && self.flights[flight].tokens == 0 {
            self.stop(flight);
        }
    }

    /// Cancels at the engine.
    pub(super) fn stop(&mut self, flight: usize) {
        self.finish(flight, PermitEnd::Cancelled);
        let site = self.flights[flight].site;
        self.advance(site);
        let engine = &mut self.sites[site].engine;
        engine.cancel(self.now_us, generation(flight), &mut self.outputs);
        self.settle(site);
    }

    pub(super) fn take_down(&mut self, site: usize) {
        self.advance(site);
        self.sites[site].up = false;
        self.sites[site].step_us = None;
        for generation in self.sites[site].engine.reset() {
            let flight = flight_of(generation);
            let Flight {
                arrival, tokens, ..
            } = self.flights[flight];
            self.finish(flight, PermitEnd::Failed);
            if tokens > 0 {
                self.metrics.lost += 1;
                self.close(arrival);
            } else {
                self.ask(arrival);
            }
        }
        let lapse = Item::Policy(Message::Lapsed(site));
        self.queue.push(self.now_us + LEASE_US, lapse);
    }

    fn advance(&mut self, site: usize) {
        let engine = &mut self.sites[site].engine;
        engine.advance(self.now_us, &mut self.outputs);
        self.settle(site);
    }

    /// Ends a flight and tells the policy.
    fn finish(&mut self, flight: usize, end: PermitEnd) {
        self.live.remove(&flight);
        let Flight {
            arrival,
            permit,
            site,
            tokens,
            ..
        } = self.flights[flight];
        if self.callers[arrival].flight == Some(flight) {
            self.callers[arrival].flight = None;
        }
        let most = if self.sites[site].is_service {
            1
        } else {
            u32::MAX
        };
        let message = Message::Finished(permit, end, tokens.min(most));
        self.send(self.arrivals[arrival].region, PERMIT_BYTES, message);
    }

    fn job(&self, flight: usize) -> GenerationRequest {
        let Flight {
            arrival,
            priority,
            site,
            ..
        } = self.flights[flight];
        let arrival = &self.arrivals[arrival];
        let steps = arrival.length_tokens.div_ceil(SERVICE_STEP_MS);
        let service = self.sites[site].is_service;
        GenerationRequest {
            account: arrival.customer,
            generation: generation(flight),
            length_tokens: if service {
                steps
            } else {
                arrival.length_tokens
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            priority,
            prompt_tokens: arrival.prompt_tokens,
        }
    }

    /// Takes an endpoint's outputs and plans its next step.
    fn settle(&mut self, site: usize) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            self.take_output(output);
        }
        self.outputs = outputs;
        let next_us = self.sites[site].engine.next_step_end_us();
        if next_us != self.sites[site].step_us {
            self.sites[site].step_us = next_us;
            if let Some(at_us) = next_us {
                self.queue.push(at_us, Item::Step(site));
            }
        }
    }

    fn take_output(&mut self, output: EngineEvent) {
        let flight = flight_of(output.generation);
        if !self.live.contains(&flight) {
            return;
        }
        match output.kind {
            EngineEventKind::Ended(EndReason::Cancelled) | EngineEventKind::State(_) => {}
            EngineEventKind::Ended(_) => {
                self.finish(flight, PermitEnd::Completed);
                self.complete(flight);
            }
            EngineEventKind::Token(_) => self.take_token(flight),
        }
    }
}

fn flight_of(generation: GenerationId) -> usize {
    usize::try_from(generation.0).expect("flights fit the memory")
}

fn generation(flight: usize) -> GenerationId {
    GenerationId(flight as u128)
}
