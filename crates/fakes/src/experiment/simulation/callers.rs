use names::RequestId;

use super::{Item, Simulation};
use crate::experiment::metrics::Stall;
use crate::experiment::simulation::messages::{Message, PERMIT_BYTES};

/// Time between tokens that callers accept on the whole.
const PACE_US_MAX: u64 = 100_000;
const TOKEN_EVENT_BYTES: u64 = 96;
const US_PER_MS: u64 = 1_000;

/// A caller's request and what it saw.
#[derive(Debug, Clone, Default)]
pub(super) struct Caller {
    pub(super) attempts: usize,
    pub(super) done: bool,
    pub(super) flight: Option<usize>,
    last_us: u64,
    pub(super) request: RequestId,
    stall_us: u64,
    tokens: u32,
    /// Tokens that came while requests arrived.
    tokens_in_window: u32,
}

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, arrival: usize) {
        let kind = &self.load.kinds[self.arrivals[arrival].kind];
        let at_us = self.arrivals[arrival].at_us + kind.wait_ms_max * US_PER_MS;
        self.queue.push(at_us, Item::GiveUp(arrival));
        self.metrics.requests += u64::from(!kind.service);
        self.ask(arrival);
    }

    pub(super) fn take_token(&mut self, flight: usize) {
        self.flights[flight].tokens += 1;
        let arrival = self.flights[flight].arrival;
        let site = &self.sites[self.flights[flight].site];
        if site.is_service {
            return;
        }
        let (from, to) = (site.region, self.arrivals[arrival].region);
        self.count_bytes(from, to, TOKEN_EVENT_BYTES);
        let at_us = self.now_us + self.hop_us(from, to) + self.load.latency_us.client;
        let caller = &mut self.callers[arrival];
        if caller.tokens == 0 {
            self.metrics
                .first_token(at_us - self.arrivals[arrival].at_us);
        } else {
            caller.stall_us += self.metrics.gap(at_us - caller.last_us);
        }
        caller.last_us = at_us;
        caller.tokens += 1;
        caller.tokens_in_window += u32::from(at_us <= self.load.duration_us());
    }

    /// Counts a whole answer.
    pub(super) fn complete(&mut self, flight: usize) {
        let arrival = self.flights[flight].arrival;
        let wanted = &self.arrivals[arrival];
        let kind = &self.load.kinds[wanted.kind];
        let site_region = self.sites[self.flights[flight].site].region;
        let path_us = self.hop_us(site_region, wanted.region) + self.load.latency_us.client;
        let taken_us = self.now_us + path_us - wanted.at_us;
        if kind.service {
            self.metrics.call_us.saturating_record(taken_us);
            return self.close(arrival);
        }
        let caller = &self.callers[arrival];
        let pace_us = u64::from(caller.tokens) * PACE_US_MAX;
        if taken_us <= kind.wait_ms_max * US_PER_MS + pace_us {
            self.metrics.good_tokens += u64::from(caller.tokens_in_window);
        }
        self.metrics.completed += 1;
        self.close(arrival);
    }

    /// Gives a caller its final answer.
    pub(super) fn close(&mut self, arrival: usize) {
        let caller = &mut self.callers[arrival];
        assert!(!caller.done, "a caller gets one final answer");
        caller.done = true;
        self.open_callers -= 1;
        if caller.tokens > 0 {
            let customer = self.arrivals[arrival].customer;
            let stall_us = caller.stall_us;
            self.metrics.stalls.push(Stall { customer, stall_us });
        }
    }

    /// Ends a request that has seen nothing for as long as its caller waits.
    pub(super) fn give_up(&mut self, arrival: usize) {
        let caller = &self.callers[arrival];
        let flight = caller.flight;
        let begun = flight.is_some_and(|flight| self.flights[flight].tokens > 0);
        if caller.done || begun {
            return;
        }
        let (kind, region) = (self.arrivals[arrival].kind, self.arrivals[arrival].region);
        self.metrics.gave_up += u64::from(!self.load.kinds[kind].service);
        self.send(region, PERMIT_BYTES, Message::Withdrawn(caller.request));
        if let Some(flight) = flight {
            self.stop(flight);
        }
        self.close(arrival);
    }

    pub(super) fn refuse(&mut self, request: RequestId) {
        let arrival = self.arrival_of(request);
        let caller = &self.callers[arrival];
        if caller.done || caller.request != request {
            return;
        }
        let service = self.load.kinds[self.arrivals[arrival].kind].service;
        self.metrics.refused += u64::from(!service);
        self.close(arrival);
    }
}
