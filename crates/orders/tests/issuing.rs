//! Simulates issuers with engines that check fencing numbers and engines that ignore them.
//!
//! Messages are lost or arrive at any time within the lifetime of an order. Engines restart. The
//! leader changes while the previous issuer still acts for the rest of its lease.

use names::{DataCentreName, EndpointName, Incarnation, LogIndex, ModelName};
use orders::{
    Action, Change, Command, EndpointAnswer, Event, FencingNumber, Issuer, ORDER_LIFETIME_MS,
    Order, OrderId, Orders, Outcome, plan_starts,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use session::CONFIGURATION_LEASE_MS;

const ENGINES: usize = 4;
const FAULTS_MS: u64 = 1_200_000;
const SEEDS: u64 = 60;
const SETTLE_MS: u64 = 300_000;
const STEP_MS: u64 = 250;

struct Engine {
    checks_fencing: bool,
    incarnation: u64,
    newest_fencing: FencingNumber,
    /// Fencing number of the last order that took effect; `None` after a restart.
    state: Option<FencingNumber>,
}

struct HostedIssuer {
    issuer: Issuer,
    /// Open orders as seen by the issuer; a replaced issuer sees no new ones.
    open: Vec<Order>,
    until_ms: u64,
}

enum Message {
    /// Issuer, engine, attempt, fencing number and answer.
    Answer(u64, usize, u64, FencingNumber, EndpointAnswer),
    /// Issuer, engine and action.
    ToEngine(u64, usize, Action),
}

struct Simulation {
    engines: Vec<Engine>,
    index: u64,
    /// Issuers with their random numbers, oldest first.
    issuers: Vec<(u64, HostedIssuer)>,
    loss_percent: u64,
    /// Messages in flight with their delivery times in ms.
    messages: Vec<(u64, Message)>,
    now_ms: u64,
    orders: Orders,
    random: Xoshiro256PlusPlus,
}

fn endpoint_name(engine: usize) -> EndpointName {
    EndpointName::new(&format!("e{engine}")).expect("a valid name")
}

fn engine_number(endpoint: &EndpointName) -> usize {
    endpoint.as_str()[1..].parse().expect("a number")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let engine = |number: usize| Engine {
            checks_fencing: number.is_multiple_of(2),
            incarnation: 1,
            newest_fencing: FencingNumber(0),
            state: None,
        };
        let mut simulation = Self {
            engines: (0..ENGINES).map(engine).collect(),
            index: 0,
            issuers: Vec::new(),
            loss_percent: 20,
            messages: Vec::new(),
            now_ms: 0,
            orders: Orders::new(2),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        simulation.change_leader();
        simulation
    }

    /// Starts an issuer; the previous one acts for up to one more lease without seeing new commits.
    fn change_leader(&mut self) {
        for (_, hosted) in &mut self.issuers {
            hosted.until_ms = hosted
                .until_ms
                .min(self.now_ms + CONFIGURATION_LEASE_MS - 1);
        }
        let number = self.random.random();
        let hosted = HostedIssuer {
            issuer: Issuer::new(self.now_ms),
            open: Vec::new(),
            until_ms: u64::MAX,
        };
        self.issuers.push((number, hosted));
    }

    fn propose(&mut self, command: &Command) {
        self.index += 1;
        self.orders
            .apply(LogIndex(self.index), self.now_ms, command);
    }

    fn submit_order(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        let id = self.random.random();
        self.propose(&Command::Order {
            change: Change::Load {
                adapter: None,
                model: ModelName::new("advice").expect("a valid name"),
                version: format!("{id}"),
            },
            data_centre: DataCentreName::new("sofia").expect("a valid name"),
            endpoint: endpoint_name(engine),
            id: OrderId(id),
        });
    }

    fn send_message(&mut self, message: Message) {
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let slow = self.loss_percent > 0 && self.random.random_range(0..4) == 0;
        let delay_ms = if slow {
            self.random.random_range(0..ORDER_LIFETIME_MS)
        } else {
            self.random.random_range(0..500)
        };
        self.messages.push((self.now_ms + delay_ms, message));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Answer(issuer, engine, attempt, fencing, answer) => {
                let endpoint = endpoint_name(engine);
                self.handle_event(
                    issuer,
                    &Event::Answered {
                        attempt,
                        endpoint,
                        fencing,
                        answer,
                    },
                );
            }
            Message::ToEngine(issuer, engine, action) => {
                let (attempt, fencing, answer) = self.engines[engine].execute(&action);
                self.send_message(Message::Answer(issuer, engine, attempt, fencing, answer));
            }
        }
    }

    fn handle_event(&mut self, number: u64, event: &Event) {
        let now_ms = self.now_ms;
        let Some((_, hosted)) = self.issuers.iter_mut().find(|(known, _)| *known == number) else {
            return;
        };
        if hosted.until_ms == u64::MAX {
            hosted.open = self.orders.open().to_vec();
        }
        let leads = hosted.until_ms == u64::MAX;
        for action in hosted.issuer.handle(now_ms, event, &hosted.open) {
            match action {
                Action::Propose(command) if leads => self.propose(&command),
                Action::Propose(_) => {}
                Action::ReadBack { ref endpoint, .. } | Action::Send { ref endpoint, .. } => {
                    let engine = engine_number(endpoint);
                    self.send_message(Message::ToEngine(number, engine, action));
                }
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, message) in due {
            self.deliver(message);
        }
        self.issuers.retain(|(_, hosted)| hosted.until_ms > now_ms);
        for command in plan_starts(&self.orders, &[]) {
            self.propose(&command);
        }
        self.announce();
    }

    /// Announces all engines, so that issuers learn of a restart before old answers arrive.
    fn announce(&mut self) {
        let numbers: Vec<u64> = self.issuers.iter().map(|(number, _)| *number).collect();
        for number in numbers {
            for engine in 0..ENGINES {
                let known = &self.engines[engine];
                let event = Event::Announced {
                    checks_fencing: known.checks_fencing,
                    endpoint: endpoint_name(engine),
                    incarnation: Incarnation(known.incarnation),
                };
                self.handle_event(number, &event);
            }
        }
    }

    fn restart_engine(&mut self) {
        let number = self.random.random_range(0..ENGINES);
        // An order applies to the current incarnation; a restart after its end loses the state.
        let is_open = |order: &Order| order.endpoint == endpoint_name(number);
        if self.orders.open().iter().any(is_open) {
            let engine = &mut self.engines[number];
            engine.incarnation += 1;
            engine.newest_fencing = FencingNumber(0);
            engine.state = None;
            self.announce();
        }
    }

    fn expire_endpoint(&mut self) {
        let endpoint = endpoint_name(self.random.random_range(0..ENGINES));
        let number = self.issuers.last().expect("an issuer").0;
        self.handle_event(number, &Event::LeaseLapsed { endpoint });
    }
}

impl Engine {
    fn execute(&mut self, action: &Action) -> (u64, FencingNumber, EndpointAnswer) {
        match *action {
            Action::ReadBack {
                attempt, fencing, ..
            } => {
                let matches = self.state == Some(fencing);
                (attempt, fencing, EndpointAnswer::State { matches })
            }
            Action::Send {
                attempt, fencing, ..
            } if self.checks_fencing && fencing < self.newest_fencing => {
                (attempt, fencing, EndpointAnswer::Refused)
            }
            Action::Send {
                attempt, fencing, ..
            } => {
                assert!(
                    self.state.is_none_or(|newest| newest <= fencing),
                    "order {fencing:?} took effect after {:?}",
                    self.state
                );
                self.newest_fencing = fencing;
                self.state = Some(fencing);
                (attempt, fencing, EndpointAnswer::Done)
            }
            Action::Propose(_) => unreachable!("commands are not sent to engines"),
        }
    }
}

fn run(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    while simulation.now_ms < FAULTS_MS {
        match simulation.random.random_range(0..1_000) {
            0..=39 => simulation.submit_order(),
            40..=49 => simulation.change_leader(),
            50..=59 => simulation.restart_engine(),
            60..=64 => simulation.expire_endpoint(),
            _ => {}
        }
        simulation.step();
    }
    simulation.loss_percent = 0;
    while simulation.now_ms < FAULTS_MS + SETTLE_MS {
        simulation.step();
    }
    simulation
}

#[test]
fn engines_end_in_the_state_of_their_last_order_and_older_orders_have_no_effect() {
    let mut done = 0;
    for seed in 0..SEEDS {
        let simulation = run(seed);
        assert_eq!(
            simulation.orders.open(),
            [],
            "seed {seed}: orders stay open"
        );
        for (number, engine) in simulation.engines.iter().enumerate() {
            let settled = simulation.orders.settled();
            let last = settled
                .filter(|settled| settled.order.endpoint == endpoint_name(number))
                .last();
            let Some(last) = last else {
                continue;
            };
            assert!(last.outcome != Outcome::Failed, "seed {seed}: {last:?}");
            if last.outcome == Outcome::Done {
                assert_eq!(
                    engine.state,
                    Some(last.order.fencing),
                    "seed {seed}: e{number}"
                );
                done += 1;
            }
        }
    }
    assert!(done > 100, "only {done} endpoints ended with an order");
}
