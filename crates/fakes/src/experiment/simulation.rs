//! Discrete-event simulation of clients, entry instances and endpoints around one dispatch policy.

mod executions;
mod messages;
mod requests;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{Action, Event, Policy};
use names::{EndpointId, PermitId, RequestId};

use crate::engine::EngineEvent;
use crate::experiment::columns::RunResult;
use crate::experiment::endpoints::{self, SimulatedEndpoint};
use crate::experiment::event_queue::EventQueue;
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::Metrics;
use crate::experiment::random::RandomSource;
use crate::experiment::report::RunSummary;
use crate::experiment::scenario::{Scenario, ScenarioFault};
use crate::experiment::simulation::executions::Execution;
use crate::experiment::simulation::messages::PolicyMessage;
use crate::experiment::simulation::requests::RequestState;
use crate::experiment::workload::{self, Arrival};

/// Simulated time after the arrival window in which every request must end.
const DRAIN_US_MAX: u64 = 3_600_000_000;
/// The third engine of `engine-loss` announces this long before its failure that it leaves.
const LEAVING_NOTICE_US: u64 = 20_000_000;
const OUTAGE_US: u64 = 60_000_000;
const PROGRESS_INTERVAL_US: u64 = 200_000;
const LOAD_REPORT_INTERVAL_US: u64 = 1_000_000;
const US_PER_S: u64 = 1_000_000;

/// Simulates one scenario with one policy.
///
/// A central policy runs at the shard owner in the first region. Any other policy decides at the
/// entry instance of the request.
#[must_use]
pub fn simulate(
    load: &LoadFile,
    scenario: &Scenario,
    policy: &mut dyn Policy,
    is_central: bool,
) -> RunSummary {
    let arrivals = workload::generate(load, scenario);
    let mut simulation = Simulation {
        actions: Vec::new(),
        arrivals: &arrivals,
        endpoints: endpoints::build(load),
        engine_events: Vec::new(),
        engine_us_by_account: Vec::new(),
        executions: Vec::new(),
        is_central,
        load,
        metrics: Metrics::new(),
        next_tick_us: None,
        now_us: 0,
        open_requests: arrivals.len(),
        permits: BTreeMap::new(),
        policy,
        queue: EventQueue::new(),
        random: RandomSource::new(scenario.seed, 1),
        requests: vec![RequestState::default(); arrivals.len()],
        running: BTreeSet::new(),
        scenario,
    };
    simulation.schedule_initial_events();
    simulation.run();
    simulation.summary()
}

/// Event of the simulation; a `usize` is the index of its request, execution or endpoint.
#[derive(Debug)]
enum SimulationEvent {
    ArrivalWindowEnd,
    CancelExecution(usize),
    ClientTimeout(usize),
    EndpointDown(usize),
    EndpointUp(usize),
    EngineStep(usize),
    ExecutionStart(usize),
    LoadReport(usize),
    PolicyDelivery(PolicyMessage),
    PolicyTick,
    ProgressReport,
    RequestArrival(usize),
}

/// Simulated run of one policy under one load.
struct Simulation<'a> {
    actions: Vec<Action>,
    arrivals: &'a [Arrival],
    endpoints: Vec<SimulatedEndpoint>,
    engine_events: Vec<EngineEvent>,
    /// Engine time of each customer until the end of the arrival window.
    engine_us_by_account: Vec<f64>,
    executions: Vec<Execution>,
    is_central: bool,
    load: &'a LoadFile,
    metrics: Metrics,
    next_tick_us: Option<u64>,
    now_us: u64,
    open_requests: usize,
    /// Index of the execution of each permit.
    permits: BTreeMap<PermitId, usize>,
    policy: &'a mut dyn Policy,
    queue: EventQueue<SimulationEvent>,
    random: RandomSource,
    requests: Vec<RequestState>,
    /// Indexes of the executions that are on an engine.
    running: BTreeSet<usize>,
    scenario: &'a Scenario,
}

impl Simulation<'_> {
    fn schedule_initial_events(&mut self) {
        let limits = endpoints::limits(self.load);
        self.notify_policy(Event::LimitsChanged { limits: &limits });
        for endpoint_index in 0..self.endpoints.len() {
            self.announce_endpoint(endpoint_index);
            let offset_us = self.random.uniform_below(LOAD_REPORT_INTERVAL_US);
            self.queue
                .push(offset_us, SimulationEvent::LoadReport(endpoint_index));
        }
        for (request_index, arrival) in self.arrivals.iter().enumerate() {
            let at_us = arrival.at_us + self.load.latency_us.client;
            self.queue
                .push(at_us, SimulationEvent::RequestArrival(request_index));
        }
        let duration_us = self.load.duration_us();
        self.queue
            .push(duration_us, SimulationEvent::ArrivalWindowEnd);
        if self.is_central {
            self.queue
                .push(PROGRESS_INTERVAL_US, SimulationEvent::ProgressReport);
        }
        if self.scenario.fault == ScenarioFault::EngineLoss {
            self.schedule_endpoint_losses(duration_us);
        }
    }

    fn schedule_endpoint_losses(&mut self, duration_us: u64) {
        let engines = self
            .endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_service)
            .count();
        let middle_us = duration_us / 2;
        let times_us = [duration_us / 4, middle_us, middle_us + US_PER_S];
        for (position, down_us) in times_us.into_iter().enumerate() {
            let endpoint_index = position * engines / times_us.len();
            self.queue
                .push(down_us, SimulationEvent::EndpointDown(endpoint_index));
            self.queue.push(
                down_us + OUTAGE_US,
                SimulationEvent::EndpointUp(endpoint_index),
            );
        }
        let leaving = PolicyMessage::EndpointLeaving(2 * engines / times_us.len());
        let notice_us = times_us[2].saturating_sub(LEAVING_NOTICE_US);
        self.queue
            .push(notice_us, SimulationEvent::PolicyDelivery(leaving));
    }

    fn run(&mut self) {
        while self.open_requests > 0 {
            let next = self.queue.pop();
            let (at_us, event) = next.expect("an open request has a pending event");
            assert!(at_us >= self.now_us, "simulated time does not decrease");
            assert!(
                at_us < self.load.duration_us() + DRAIN_US_MAX,
                "every request ends within `DRAIN_US_MAX`"
            );
            self.now_us = at_us;
            self.handle_event(event);
        }
        assert!(
            self.running.is_empty(),
            "no execution remains after its request is closed"
        );
        if self.engine_us_by_account.is_empty() {
            self.record_engine_use();
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrival(request_index) => self.handle_arrival(request_index),
            SimulationEvent::CancelExecution(execution) => self.cancel_if_no_tokens(execution),
            SimulationEvent::EndpointDown(endpoint_index) => self.fail_endpoint(endpoint_index),
            SimulationEvent::ClientTimeout(request_index) => self.handle_timeout(request_index),
            SimulationEvent::PolicyDelivery(message) => self.deliver_message(message),
            SimulationEvent::ProgressReport => self.send_progress(),
            SimulationEvent::LoadReport(endpoint_index) => self.send_load_report(endpoint_index),
            SimulationEvent::ExecutionStart(execution) => self.start_execution(execution),
            SimulationEvent::EngineStep(endpoint_index) => self.finish_engine_step(endpoint_index),
            SimulationEvent::EndpointUp(endpoint_index) => {
                self.endpoints[endpoint_index].is_up = true;
                self.announce_endpoint(endpoint_index);
            }
            SimulationEvent::PolicyTick => self.handle_tick(),
            SimulationEvent::ArrivalWindowEnd => self.record_engine_use(),
        }
    }

    /// Passes an event to the policy and applies the actions that it returns.
    fn notify_policy(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(self.now_us, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(action);
        }
        self.actions = actions;
        let Some(next_tick_us) = self.policy.next_tick_us() else {
            return;
        };
        let next_tick_us = next_tick_us.max(self.now_us + 1);
        if self
            .next_tick_us
            .is_none_or(|known_us| next_tick_us < known_us)
        {
            self.next_tick_us = Some(next_tick_us);
            self.queue.push(next_tick_us, SimulationEvent::PolicyTick);
        }
    }

    fn handle_tick(&mut self) {
        if self.next_tick_us == Some(self.now_us) {
            self.next_tick_us = None;
            self.notify_policy(Event::Tick);
        }
    }

    fn announce_endpoint(&mut self, endpoint_index: usize) {
        let profile = self.endpoints[endpoint_index].profile.clone();
        let endpoint = endpoint_id(endpoint_index);
        self.notify_policy(Event::EndpointAnnounced {
            endpoint,
            profile: &profile,
        });
    }

    fn record_engine_use(&mut self) {
        self.engine_us_by_account = vec![0.0; self.load.customers.len()];
        for endpoint in self
            .endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_service)
        {
            let accounts = self
                .engine_us_by_account
                .iter_mut()
                .zip(endpoint.engine.engine_us_by_account());
            accounts.for_each(|(total_us, used_us)| *total_us += used_us);
        }
    }

    fn summary(&self) -> RunSummary {
        let load = |endpoint: &SimulatedEndpoint| endpoint.engine.load(self.now_us);
        let result = RunResult {
            engine_us_by_account: &self.engine_us_by_account,
            arrivals: self.arrivals,
            load: self.load,
            metrics: &self.metrics,
            policy: &*self.policy,
            preemptions: self
                .endpoints
                .iter()
                .map(|endpoint| load(endpoint).preemptions)
                .sum(),
        };
        RunSummary::from_result(self.scenario, &result)
    }

    fn request_index_of(&self, request: RequestId) -> usize {
        to_usize(request.0) % self.arrivals.len()
    }

    fn count_cross_region_bytes(&mut self, from: usize, to: usize, bytes: u64) {
        if from != to {
            self.metrics.cross_region_bytes += bytes;
        }
    }

    fn network_latency_us(&self, from: usize, to: usize) -> u64 {
        let latency = &self.load.latency_us;
        if from == to {
            latency.data_centre
        } else {
            latency.region
        }
    }

    /// Latency between the entry instance of a region and the policy.
    fn policy_latency_us(&self, region: usize) -> u64 {
        if self.is_central {
            self.network_latency_us(0, region)
        } else {
            0
        }
    }
}

fn endpoint_id(endpoint_index: usize) -> EndpointId {
    EndpointId(endpoint_index as u64)
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).expect("ids of a simulation fit a usize")
}
