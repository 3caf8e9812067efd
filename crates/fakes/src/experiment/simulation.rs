use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    Action, CustomerIndex, Demand, End, Event, KindIndex, Limits, Policy, RegionIndex, Report,
};
use names::{EndpointId, GenerationId, PermitId, RequestId};

use crate::engine::{CacheNews, EndReason, Job, Output, OutputKind};
use crate::experiment::draw::Draw;
use crate::experiment::engines::{self, ENGINE_MODEL, SERVICE_MODEL, SERVICE_STEP_MS, Site};
use crate::experiment::load_file::LoadFile;
use crate::experiment::metrics::{Metrics, STALL_US, Stall};
use crate::experiment::queue::Queue;
use crate::experiment::scenario::{Fault, Scenario};
use crate::experiment::summary::{Outcome, Summary};
use crate::experiment::workload::{self, Arrival};

/// Time between tokens that callers accept on the whole.
const PACE_US_MAX: u64 = 100_000;
const LEASE_US: u64 = 3_000_000;
const OUTAGE_US: u64 = 60_000_000;
const LEAVING_NOTICE_US: u64 = 20_000_000;
const PROGRESS_US: u64 = 200_000;
const REPORT_US: u64 = 1_000_000;
const CACHE_NEWS_US: u64 = 1_000_000;
const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

const REQUEST_BYTES: u64 = 96;
const HASH_BYTES: u64 = 8;
const PERMIT_BYTES: u64 = 24;
const REPORT_BYTES: u64 = 48;
const PROMPT_TOKEN_BYTES: u64 = 4;
const TOKEN_EVENT_BYTES: u64 = 96;

/// Runs one policy through a scenario.
///
/// A `central` policy sits with the owner in the first region; any other decides at the entries.
#[must_use]
pub fn run(
    load: &LoadFile,
    scenario: &Scenario,
    policy: &mut dyn Policy,
    central: bool,
) -> Summary {
    let arrivals = workload::generate(load, scenario);
    let mut simulation = Simulation {
        account_us: Vec::new(),
        actions: Vec::new(),
        arrivals: &arrivals,
        attempts: Vec::new(),
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
        sites: engines::build(load),
        wake_us: None,
    };
    simulation.prepare();
    simulation.run();
    simulation.summary()
}

/// A caller's request and what it saw.
#[derive(Debug, Clone, Default)]
struct Caller {
    attempt: RequestId,
    done: bool,
    flight: Option<usize>,
    last_us: u64,
    stall_us: u64,
    tokens: u32,
    /// Tokens that came while requests arrived.
    tokens_in_window: u32,
}

/// One permit's run on an endpoint.
#[derive(Debug)]
struct Flight {
    arrival: usize,
    permit: PermitId,
    priority: i32,
    reported_tokens: u32,
    site: usize,
    started: bool,
    tokens: u32,
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

/// News on its way to the policy.
#[derive(Debug)]
enum Message {
    Cached {
        news: CacheNews,
        site: usize,
    },
    Finished {
        end: End,
        generated_tokens: u32,
        permit: PermitId,
    },
    Lapsed(usize),
    Leaving(usize),
    Progressed(Vec<(PermitId, u32)>),
    Reported {
        report: Report,
        sent_us: u64,
        site: usize,
    },
    Requested(RequestId),
    Withdrawn(RequestId),
}

struct Simulation<'a> {
    account_us: Vec<f64>,
    actions: Vec<Action>,
    arrivals: &'a [Arrival],
    /// The arrival of each request number.
    attempts: Vec<usize>,
    callers: Vec<Caller>,
    central: bool,
    draw: Draw,
    flights: Vec<Flight>,
    live: BTreeSet<usize>,
    load: &'a LoadFile,
    metrics: Metrics,
    now_us: u64,
    open_callers: usize,
    outputs: Vec<Output>,
    permits: BTreeMap<PermitId, usize>,
    policy: &'a mut dyn Policy,
    queue: Queue<Item>,
    scenario: &'a Scenario,
    sites: Vec<Site>,
    wake_us: Option<u64>,
}

impl Simulation<'_> {
    fn prepare(&mut self) {
        let limits = limits(self.load);
        self.tell(Event::Limits { limits: &limits });
        for site in 0..self.sites.len() {
            self.announce(site);
            let offset_us = self.draw.below(REPORT_US);
            self.queue.push(offset_us, Item::Report(site));
        }
        for (position, arrival) in self.arrivals.iter().enumerate() {
            let at_us = arrival.at_us + self.load.latency_us.client;
            self.queue.push(at_us, Item::Arrive(position));
        }
        let duration_us = self.load.duration_s * US_PER_S;
        self.queue.push(duration_us, Item::WindowEnd);
        if self.central {
            self.queue.push(PROGRESS_US, Item::Progress);
        }
        if self.scenario.fault == Fault::EngineLoss {
            self.prepare_losses(duration_us);
        }
    }

    fn prepare_losses(&mut self, duration_us: u64) {
        let engines = self.sites.iter().filter(|site| !site.is_service()).count();
        let times_us = [duration_us / 4, duration_us / 2, duration_us / 2 + US_PER_S];
        for (position, down_us) in times_us.into_iter().enumerate() {
            let site = position * engines / times_us.len();
            self.queue.push(down_us, Item::Down(site));
            self.queue.push(down_us + OUTAGE_US, Item::Up(site));
        }
        let leaving_us = times_us[2].saturating_sub(LEAVING_NOTICE_US);
        let leaving = 2 * engines / times_us.len();
        self.queue
            .push(leaving_us, Item::Policy(Message::Leaving(leaving)));
    }

    fn run(&mut self) {
        while self.open_callers > 0 {
            let (at_us, item) = self
                .queue
                .pop()
                .expect("an open caller has an event to come");
            assert!(at_us >= self.now_us, "time never runs backwards");
            self.now_us = at_us;
            self.take(item);
        }
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
            Item::Wake => {
                if self.wake_us == Some(self.now_us) {
                    self.wake_us = None;
                    self.tell(Event::Tick);
                }
            }
            Item::WindowEnd => self.close_window(),
        }
    }

    fn announce(&mut self, site: usize) {
        let profile = self.sites[site].profile.clone();
        self.tell(Event::Announced {
            endpoint: endpoint(site),
            profile: &profile,
        });
    }

    fn arrive(&mut self, arrival: usize) {
        let kind = &self.load.kinds[self.arrivals[arrival].kind];
        let at_us = self.arrivals[arrival].at_us + kind.wait_ms_max * US_PER_MS;
        self.queue.push(at_us, Item::GiveUp(arrival));
        self.metrics.requests += u64::from(!kind.service);
        self.ask(arrival);
    }

    fn ask(&mut self, arrival: usize) {
        let request = RequestId(self.attempts.len() as u64);
        self.attempts.push(arrival);
        let caller = &mut self.callers[arrival];
        caller.attempt = request;
        caller.flight = None;
        let region = self.arrivals[arrival].region;
        let hashes = self.arrivals[arrival].prefix_hashes.len() as u64;
        self.send(
            region,
            REQUEST_BYTES + HASH_BYTES * hashes,
            Message::Requested(request),
        );
    }

    /// Sends a message from a region to the policy.
    fn send(&mut self, region: usize, bytes: u64, message: Message) {
        let mut at_us = self.now_us;
        if self.central {
            at_us += self.hop_us(region, 0);
            self.count_bytes(region, 0, bytes);
        }
        self.queue.push(at_us, Item::Policy(message));
    }

    fn count_bytes(&mut self, from: usize, to: usize, bytes: u64) {
        if from != to {
            self.metrics.bytes_across_regions += bytes;
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

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Cached { news, site } => {
                let endpoint = endpoint(site);
                self.tell(Event::Evicted {
                    endpoint,
                    hashes: &news.evicted,
                });
                self.tell(Event::Cached {
                    endpoint,
                    hashes: &news.added,
                });
            }
            Message::Finished {
                end,
                generated_tokens,
                permit,
            } => {
                self.tell(Event::Finished {
                    end,
                    generated_tokens,
                    permit,
                });
            }
            Message::Lapsed(site) => {
                if !self.sites[site].up {
                    self.tell(Event::Lapsed {
                        endpoint: endpoint(site),
                    });
                }
            }
            Message::Leaving(site) => self.tell(Event::Leaving {
                endpoint: endpoint(site),
            }),
            Message::Progressed(permits) => {
                for (permit, generated_tokens) in permits {
                    self.tell(Event::Progressed {
                        generated_tokens,
                        permit,
                    });
                }
            }
            Message::Reported {
                report,
                sent_us,
                site,
            } => {
                let age_us = self.now_us - sent_us;
                let endpoint = endpoint(site);
                if self.sites[site].up {
                    self.tell(Event::Reported {
                        age_us,
                        endpoint,
                        report: &report,
                    });
                }
            }
            Message::Requested(request) => {
                let demand = self.demand(self.attempts[usize(request.0)]);
                self.tell(Event::Requested {
                    demand: &demand,
                    request,
                });
            }
            Message::Withdrawn(request) => self.tell(Event::Withdrawn { request }),
        }
    }

    fn demand(&self, arrival: usize) -> Demand {
        let arrival = &self.arrivals[arrival];
        let kind = &self.load.kinds[arrival.kind];
        Demand {
            customer: CustomerIndex(narrow(arrival.customer)),
            deadline_us: arrival.at_us + kind.wait_ms_max * US_PER_MS,
            kind: KindIndex(narrow(arrival.kind)),
            max_tokens: if kind.service { 1 } else { kind.max_tokens },
            model: if kind.service {
                SERVICE_MODEL
            } else {
                ENGINE_MODEL
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            prompt_tokens: arrival.prompt_tokens,
            region: RegionIndex(narrow(arrival.region)),
            urgent: arrival.urgent,
        }
    }

    fn tell(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(self.now_us, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        if let Some(at_us) = self.policy.wake_us() {
            let at_us = at_us.max(self.now_us + 1);
            if self.wake_us.is_none_or(|known_us| at_us < known_us) {
                self.wake_us = Some(at_us);
                self.queue.push(at_us, Item::Wake);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Cancel { permit } => {
                let flight = self.permits[&permit];
                let region = self.arrivals[self.flights[flight].arrival].region;
                self.count_bytes(0, region, PERMIT_BYTES);
                let at_us = self.now_us + self.owner_hop_us(region);
                self.queue.push(at_us, Item::CancelFlight(flight));
            }
            Action::Grant {
                endpoint,
                permit,
                priority,
                request,
            } => {
                self.grant(usize(endpoint.0), permit, priority, request);
            }
            Action::Refuse {
                reason, request, ..
            } => {
                let arrival = self.attempts[usize(request.0)];
                if !self.callers[arrival].done && self.callers[arrival].attempt == request {
                    self.metrics.refused(reason);
                    self.close(arrival);
                }
            }
        }
    }

    fn owner_hop_us(&self, region: usize) -> u64 {
        if self.central {
            self.hop_us(0, region)
        } else {
            0
        }
    }

    fn grant(&mut self, site: usize, permit: PermitId, priority: i32, request: RequestId) {
        let arrival = self.attempts[usize(request.0)];
        let region = self.arrivals[arrival].region;
        let flight = self.flights.len();
        self.flights.push(Flight {
            arrival,
            permit,
            priority,
            reported_tokens: 0,
            site,
            started: false,
            tokens: 0,
        });
        let doubled = self.permits.insert(permit, flight);
        assert!(doubled.is_none(), "a permit number is used once");
        if self.central {
            self.count_bytes(0, region, PERMIT_BYTES);
        }
        let path_us = self.owner_hop_us(region) + self.hop_us(region, self.sites[site].region);
        self.queue.push(self.now_us + path_us, Item::Start(flight));
    }

    fn start(&mut self, flight: usize) {
        let arrival = self.flights[flight].arrival;
        let site = self.flights[flight].site;
        if self.callers[arrival].done {
            return self.finish(flight, End::Cancelled);
        }
        assert!(
            self.callers[arrival].flight.is_none(),
            "a request runs in one place at a time"
        );
        if !self.sites[site].up {
            self.finish(flight, End::Failed);
            return self.ask(arrival);
        }
        let prompt_tokens = u64::from(self.arrivals[arrival].prompt_tokens);
        let (region, site_region) = (self.arrivals[arrival].region, self.sites[site].region);
        self.count_bytes(region, site_region, prompt_tokens * PROMPT_TOKEN_BYTES);
        self.advance(site);
        let job = self.job(flight);
        let submitted = self.sites[site]
            .engine
            .submit(self.now_us, job, &mut self.outputs);
        if submitted.is_err() {
            self.finish(flight, End::Refused);
            return self.ask(arrival);
        }
        self.flights[flight].started = true;
        self.callers[arrival].flight = Some(flight);
        self.live.insert(flight);
        self.settle(site);
    }

    fn job(&self, flight: usize) -> Job {
        let arrival = &self.arrivals[self.flights[flight].arrival];
        let service = self.load.kinds[arrival.kind].service;
        let steps = arrival.length_tokens.div_ceil(SERVICE_STEP_MS);
        Job {
            account: arrival.customer,
            generation: GenerationId(flight as u128),
            length_tokens: if service {
                steps
            } else {
                arrival.length_tokens
            },
            prefix_hashes: arrival.prefix_hashes.clone(),
            priority: self.flights[flight].priority,
            prompt_tokens: arrival.prompt_tokens,
        }
    }

    fn step(&mut self, site: usize) {
        if self.sites[site].step_us != Some(self.now_us) {
            return;
        }
        self.sites[site].step_us = None;
        self.advance(site);
        self.settle(site);
    }

    fn advance(&mut self, site: usize) {
        self.sites[site]
            .engine
            .advance(self.now_us, &mut self.outputs);
    }

    /// Takes an endpoint's outputs and plans its next step.
    fn settle(&mut self, site: usize) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            self.take_output(output);
        }
        self.outputs = outputs;
        let next_us = self.sites[site].engine.next_us();
        if let Some(at_us) = next_us.filter(|_| self.sites[site].step_us != next_us) {
            self.queue.push(at_us, Item::Step(site));
        }
        self.sites[site].step_us = next_us;
    }

    fn take_output(&mut self, output: Output) {
        let flight = usize::try_from(output.generation.0).expect("flights fit the memory");
        if !self.live.contains(&flight) {
            return;
        }
        match output.kind {
            OutputKind::Ended {
                end: EndReason::Cancelled,
                ..
            }
            | OutputKind::State(_) => {}
            OutputKind::Ended { .. } => self.complete(flight),
            OutputKind::Token { .. } => self.take_token(flight),
        }
    }

    fn take_token(&mut self, flight: usize) {
        self.flights[flight].tokens += 1;
        let arrival = self.flights[flight].arrival;
        if self.sites[self.flights[flight].site].is_service() {
            return;
        }
        let region = self.arrivals[arrival].region;
        let site_region = self.sites[self.flights[flight].site].region;
        self.count_bytes(site_region, region, TOKEN_EVENT_BYTES);
        let path_us = self.hop_us(site_region, region) + self.load.latency_us.client;
        let at_us = self.now_us + path_us;
        let waited_us = at_us - self.arrivals[arrival].at_us;
        let caller = &mut self.callers[arrival];
        if caller.tokens == 0 {
            self.metrics.first_token(waited_us);
        } else {
            let gap_us = at_us - caller.last_us;
            self.metrics.gap_us.saturating_record(gap_us);
            caller.stall_us += gap_us.saturating_sub(STALL_US);
        }
        caller.last_us = at_us;
        caller.tokens += 1;
        caller.tokens_in_window += u32::from(at_us <= self.load.duration_s * US_PER_S);
    }

    fn complete(&mut self, flight: usize) {
        let arrival = self.flights[flight].arrival;
        self.finish(flight, End::Completed);
        let wanted = &self.arrivals[arrival];
        let kind = &self.load.kinds[wanted.kind];
        let path_us = self.hop_us(self.sites[self.flights[flight].site].region, wanted.region);
        let taken_us = self.now_us + path_us + self.load.latency_us.client - wanted.at_us;
        if kind.service {
            self.metrics.call_us.saturating_record(taken_us);
        } else {
            let caller = &self.callers[arrival];
            let pace_us = u64::from(caller.tokens) * PACE_US_MAX;
            if taken_us <= kind.wait_ms_max * US_PER_MS + pace_us {
                self.metrics.good_tokens += u64::from(caller.tokens_in_window);
            }
            self.metrics.completed += 1;
        }
        self.close(arrival);
    }

    /// Ends a flight and tells the policy.
    fn finish(&mut self, flight: usize, end: End) {
        self.live.remove(&flight);
        let Flight {
            arrival,
            permit,
            tokens,
            ..
        } = self.flights[flight];
        let service = self.load.kinds[self.arrivals[arrival].kind].service;
        let generated_tokens = if service { tokens.min(1) } else { tokens };
        if self.callers[arrival].flight == Some(flight) {
            self.callers[arrival].flight = None;
        }
        let message = Message::Finished {
            end,
            generated_tokens,
            permit,
        };
        self.send(self.arrivals[arrival].region, PERMIT_BYTES, message);
    }

    /// Gives a caller its final answer.
    fn close(&mut self, arrival: usize) {
        let caller = &mut self.callers[arrival];
        assert!(!caller.done, "a caller gets one final answer");
        caller.done = true;
        self.open_callers -= 1;
        if caller.tokens > 0 {
            let customer = self.arrivals[arrival].customer;
            self.metrics.stalls.push(Stall {
                customer,
                stall_us: caller.stall_us,
            });
        }
    }

    fn give_up(&mut self, arrival: usize) {
        let Caller {
            attempt,
            done,
            flight,
            tokens,
            ..
        } = self.callers[arrival];
        let service_runs = flight.is_some_and(|flight| self.flights[flight].tokens > 0);
        if done || tokens > 0 || service_runs {
            return;
        }
        if !self.load.kinds[self.arrivals[arrival].kind].service {
            self.metrics.gave_up += 1;
        }
        self.send(
            self.arrivals[arrival].region,
            PERMIT_BYTES,
            Message::Withdrawn(attempt),
        );
        if let Some(flight) = flight {
            self.stop_flight(flight);
        }
        self.close(arrival);
    }

    /// Cancels at the engine what the policy wants to move elsewhere, unless tokens came.
    fn cancel_ordered(&mut self, flight: usize) {
        if self.live.contains(&flight) && self.flights[flight].tokens == 0 {
            self.stop_flight(flight);
        }
    }

    fn stop_flight(&mut self, flight: usize) {
        self.finish(flight, End::Cancelled);
        let site = self.flights[flight].site;
        self.advance(site);
        let generation = GenerationId(flight as u128);
        self.sites[site]
            .engine
            .cancel(self.now_us, generation, &mut self.outputs);
        self.settle(site);
    }

    fn take_down(&mut self, site: usize) {
        self.advance(site);
        self.settle(site);
        self.sites[site].up = false;
        self.sites[site].step_us = None;
        for generation in self.sites[site].engine.clear() {
            let flight = usize::try_from(generation.0).expect("flights fit the memory");
            let arrival = self.flights[flight].arrival;
            self.finish(flight, End::Failed);
            if self.flights[flight].tokens > 0 {
                self.metrics.lost += 1;
                self.close(arrival);
            } else {
                self.ask(arrival);
            }
        }
        self.queue
            .push(self.now_us + LEASE_US, Item::Policy(Message::Lapsed(site)));
    }

    fn send_progress(&mut self) {
        self.queue.push(self.now_us + PROGRESS_US, Item::Progress);
        let mut batches = vec![Vec::new(); self.load.regions.len()];
        for &flight in &self.live {
            let known = &mut self.flights[flight];
            if known.tokens > known.reported_tokens && !self.sites[known.site].is_service() {
                known.reported_tokens = known.tokens;
                let region = self.arrivals[known.arrival].region;
                batches[region].push((known.permit, known.tokens));
            }
        }
        for (region, batch) in batches.into_iter().enumerate() {
            let bytes = batch.len() as u64 * PERMIT_BYTES;
            self.send(region, bytes, Message::Progressed(batch));
        }
    }

    fn send_report(&mut self, site: usize) {
        self.queue.push(self.now_us + REPORT_US, Item::Report(site));
        if !self.sites[site].up {
            return;
        }
        let lag_us = self.scenario.fault.lag_us();
        let report = self.sites[site].report(self.now_us);
        let message = Message::Reported {
            report,
            sent_us: self.now_us,
            site,
        };
        self.queue.push(self.now_us + lag_us, Item::Policy(message));
        let readers = if self.central {
            1
        } else {
            self.load.regions.len() as u64 - 1
        };
        self.metrics.bytes_across_regions += REPORT_BYTES * readers;
        let news = self.sites[site].engine.take_cache_news();
        if self.draw.unit() >= self.scenario.fault.gap_part() {
            let late_us = lag_us + self.draw.below(CACHE_NEWS_US);
            let message = Message::Cached { news, site };
            self.queue
                .push(self.now_us + late_us, Item::Policy(message));
        }
    }

    fn close_window(&mut self) {
        for site in 0..self.sites.len() {
            if self.sites[site].is_service() {
                continue;
            }
            let used_us = self.sites[site].engine.account_us();
            self.account_us
                .resize(self.account_us.len().max(used_us.len()), 0.0);
            for (total_us, used_us) in self.account_us.iter_mut().zip(used_us) {
                *total_us += used_us;
            }
        }
    }

    fn summary(&self) -> Summary {
        let preemptions = |site: &Site| site.engine.load(self.now_us).preemptions;
        let outcome = Outcome {
            account_us: &self.account_us,
            arrivals: self.arrivals,
            metrics: &self.metrics,
            policy: self.policy.name(),
            preemptions: self.sites.iter().map(preemptions).sum(),
        };
        Summary::of(self.load, self.scenario, &outcome)
    }
}

fn endpoint(site: usize) -> EndpointId {
    EndpointId(site as u64)
}

fn limits(load: &LoadFile) -> Vec<Limits> {
    let rows = load.customers.iter().enumerate();
    rows.flat_map(|(customer, of)| {
        of.rows.iter().map(move |row| Limits {
            customer: CustomerIndex(narrow(customer)),
            kind: KindIndex(narrow(row.kind)),
            priority: row.priority,
            queued_max: row.queued_max,
            queueing_ms_max: load.kinds[row.kind].wait_ms_max,
            running_max: row.running_max,
            tokens_per_second_max: None,
            urgent_share: 0.5,
            weight: row.weight,
        })
    })
    .collect()
}

fn narrow(position: usize) -> u32 {
    u32::try_from(position).expect("few positions")
}

fn usize(number: u64) -> usize {
    usize::try_from(number).expect("numbers fit the memory")
}
