//! Callers, entries and endpoints around one policy.

mod callers;
mod flights;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{Action, Event, Policy};
use names::{EndpointId, PermitId, RequestId};

use crate::engine::EngineEvent;
use crate::experiment::columns::Outcome;
use crate::experiment::draw::Draw;
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::Metrics;
use crate::experiment::queue::Queue;
use crate::experiment::report::RunSummary;
use crate::experiment::scenario::{Fault, Scenario};
use crate::experiment::simulation::callers::Caller;
use crate::experiment::simulation::flights::Flight;
use crate::experiment::simulation::messages::Message;
use crate::experiment::sites::{self, Site};
use crate::experiment::workload::{self, Arrival};

const DRAIN_US_MAX: u64 = 3_600_000_000;
const LEAVING_NOTICE_US: u64 = 20_000_000;
const OUTAGE_US: u64 = 60_000_000;
const PROGRESS_US: u64 = 200_000;
const REPORT_US: u64 = 1_000_000;
const US_PER_S: u64 = 1_000_000;

/// Runs one policy through a scenario.
///
/// A `central` policy sits with the owner in the first region; any other decides at the entries.
#[must_use]
pub fn run(
    load: &LoadFile,
    scenario: &Scenario,
    policy: &mut dyn Policy,
    central: bool,
) -> RunSummary {
    let arrivals = workload::generate(load, scenario);
    let mut simulation = Simulation {
        account_us: Vec::new(),
        actions: Vec::new(),
        arrivals: &arrivals,
        callers: vec![Caller::default(); arrivals.len()],
        central,
        draw: Draw::new(scenario.seed, 1),
        flights: Vec::new(),
        live: BTreeSet::new(),
        load,
        metrics: Metrics::new(),
        now_us: 0,
        open_callers: arrivals.len(),
        outputs: Vec::new(),
        permits: BTreeMap::new(),
        policy,
        queue: Queue::new(),
        scenario,
        sites: sites::build(load),
        next_tick_us: None,
    };
    simulation.prepare();
    simulation.run();
    simulation.summary()
}

#[derive(Debug)]
enum Item {
    Arrive(usize),
    CancelFlight(usize),
    Down(usize),
    GiveUp(usize),
    Policy(Message),
    Progress,
    Report(usize),
    Start(usize),
    Step(usize),
    Up(usize),
    Wake,
    WindowEnd,
}

struct Simulation<'a> {
    account_us: Vec<f64>,
    actions: Vec<Action>,
    arrivals: &'a [Arrival],
    callers: Vec<Caller>,
    central: bool,
    draw: Draw,
    flights: Vec<Flight>,
    live: BTreeSet<usize>,
    load: &'a LoadFile,
    metrics: Metrics,
    now_us: u64,
    open_callers: usize,
    outputs: Vec<EngineEvent>,
    permits: BTreeMap<PermitId, usize>,
    policy: &'a mut dyn Policy,
    queue: Queue<Item>,
    scenario: &'a Scenario,
    sites: Vec<Site>,
    next_tick_us: Option<u64>,
}

impl Simulation<'_> {
    fn prepare(&mut self) {
        let limits = sites::limits(self.load);
        self.tell(Event::LimitsChanged { limits: &limits });
        for site in 0..self.sites.len() {
            self.announce(site);
            let offset_us = self.draw.below(REPORT_US);
            self.queue.push(offset_us, Item::Report(site));
        }
        for (position, arrival) in self.arrivals.iter().enumerate() {
            let at_us = arrival.at_us + self.load.latency_us.client;
            self.queue.push(at_us, Item::Arrive(position));
        }
        let duration_us = self.load.duration_us();
        self.queue.push(duration_us, Item::WindowEnd);
        if self.central {
            self.queue.push(PROGRESS_US, Item::Progress);
        }
        if self.scenario.fault == Fault::EngineLoss {
            self.prepare_losses(duration_us);
        }
    }

    fn prepare_losses(&mut self, duration_us: u64) {
        let engines = self.sites.iter().filter(|site| !site.is_service).count();
        let middle_us = duration_us / 2;
        let times_us = [duration_us / 4, middle_us, middle_us + US_PER_S];
        for (position, down_us) in times_us.into_iter().enumerate() {
            let site = position * engines / times_us.len();
            self.queue.push(down_us, Item::Down(site));
            self.queue.push(down_us + OUTAGE_US, Item::Up(site));
        }
        let leaving = Message::Leaving(2 * engines / times_us.len());
        let notice_us = times_us[2].saturating_sub(LEAVING_NOTICE_US);
        self.queue.push(notice_us, Item::Policy(leaving));
    }

    fn run(&mut self) {
        while self.open_callers > 0 {
            let next = self.queue.pop();
            let (at_us, item) = next.expect("an open caller has an event to come");
            assert!(at_us >= self.now_us, "time never runs backwards");
            assert!(
                at_us < self.load.duration_us() + DRAIN_US_MAX,
                "every request ends"
            );
            self.now_us = at_us;
            self.take(item);
        }
        assert!(self.live.is_empty(), "no generation outlives its caller");
        if self.account_us.is_empty() {
            self.close_window();
        }
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Arrive(arrival) => self.arrive(arrival),
            Item::CancelFlight(flight) => self.cancel_ordered(flight),
            Item::Down(site) => self.take_down(site),
            Item::GiveUp(arrival) => self.give_up(arrival),
            Item::Policy(message) => self.deliver(message),
            Item::Progress => self.send_progress(),
            Item::Report(site) => self.send_report(site),
            Item::Start(flight) => self.start(flight),
            Item::Step(site) => self.step(site),
            Item::Up(site) => {
                self.sites[site].up = true;
                self.announce(site);
            }
            Item::Wake => self.wake(),
            Item::WindowEnd => self.close_window(),
        }
    }

    /// Puts an event to the policy and does what it asks for.
    fn tell(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(self.now_us, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
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
            self.queue.push(next_tick_us, Item::Wake);
        }
    }

    fn wake(&mut self) {
        if self.next_tick_us == Some(self.now_us) {
            self.next_tick_us = None;
            self.tell(Event::Tick);
        }
    }

    fn announce(&mut self, site: usize) {
        let profile = self.sites[site].profile.clone();
        let endpoint = endpoint(site);
        self.tell(Event::EndpointAnnounced {
            endpoint,
            profile: &profile,
        });
    }

    fn close_window(&mut self) {
        self.account_us = vec![0.0; self.load.customers.len()];
        for site in self.sites.iter().filter(|site| !site.is_service) {
            let used = self
                .account_us
                .iter_mut()
                .zip(site.engine.engine_us_by_account());
            used.for_each(|(total_us, used_us)| *total_us += used_us);
        }
    }

    fn summary(&self) -> RunSummary {
        let load = |site: &Site| site.engine.load(self.now_us);
        let outcome = Outcome {
            account_us: &self.account_us,
            arrivals: self.arrivals,
            load: self.load,
            metrics: &self.metrics,
            policy: &*self.policy,
            preemptions: self.sites.iter().map(|site| load(site).preemptions).sum(),
        };
        RunSummary::of(self.scenario, &outcome)
    }

    fn arrival_of(&self, request: RequestId) -> usize {
        usize(request.0) % self.arrivals.len()
    }

    fn count_bytes(&mut self, from: usize, to: usize, bytes: u64) {
        if from != to {
            self.metrics.across_bytes += bytes;
        }
    }

    fn hop_us(&self, from: usize, to: usize) -> u64 {
        let latency = &self.load.latency_us;
        if from == to {
            latency.data_centre
        } else {
            latency.region
        }
    }

    /// Latency between an entry and the policy.
    fn owner_hop_us(&self, region: usize) -> u64 {
        if self.central {
            self.hop_us(0, region)
        } else {
            0
        }
    }
}

fn endpoint(site: usize) -> EndpointId {
    EndpointId(site as u64)
}

fn usize(number: u64) -> usize {
    usize::try_from(number).expect("numbers fit the memory")
}
