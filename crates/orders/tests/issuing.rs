//! Issuers against engines that check fencing numbers and engines that ignore them.
//!
//! Messages are lost or arrive at any time within the life of an order; engines restart; the leader
//! changes while the issuer before still acts for the rest of its lease.

use names::{DataCentreName, EndpointName, Incarnation, LogIndex, ModelName};
use orders::{
    Action, Change, Command, Event, Fencing, Issuer, ORDER_LIFE_MS, Order, OrderId, Orders,
    Outcome, Reply, plan_starts,
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
    highest: Fencing,
    incarnation: u64,
    /// Order whose state the engine is in; none after a restart.
    state: Option<Fencing>,
}

struct Hosted {
    issuer: Issuer,
    /// Open orders as the issuer sees them; an old issuer sees no new ones.
    open: Vec<Order>,
    until_ms: u64,
}

enum Message {
    Reply(u64, usize, u64, Fencing, Reply),
    ToEngine(u64, usize, Action),
}

struct World {
    engines: Vec<Engine>,
    index: u64,
    issuers: Vec<(u64, Hosted)>,
    loss_percent: u64,
    messages: Vec<(u64, Message)>,
    now_ms: u64,
    orders: Orders,
    random: Xoshiro256PlusPlus,
}

fn name(engine: usize) -> EndpointName {
    EndpointName::new(&format!("e{engine}")).expect("a valid name")
}

fn place(endpoint: &EndpointName) -> usize {
    endpoint.as_str()[1..].parse().expect("a number")
}

impl World {
    fn new(seed: u64) -> Self {
        let engine = |number: usize| Engine {
            checks_fencing: number.is_multiple_of(2),
            highest: Fencing(0),
            incarnation: 1,
            state: None,
        };
        let mut world = Self {
            engines: (0..ENGINES).map(engine).collect(),
            index: 0,
            issuers: Vec::new(),
            loss_percent: 20,
            messages: Vec::new(),
            now_ms: 0,
            orders: Orders::new(2),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        world.change_leader();
        world
    }

    /// Starts an issuer; the one before goes on for up to one lease, blind to new commits.
    fn change_leader(&mut self) {
        for (_, hosted) in &mut self.issuers {
            hosted.until_ms = hosted
                .until_ms
                .min(self.now_ms + CONFIGURATION_LEASE_MS - 1);
        }
        let number = self.random.random();
        let hosted = Hosted {
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

    fn order(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        let id = self.random.random();
        self.propose(&Command::Order {
            change: Change::Load {
                adapter: None,
                model: ModelName::new("advice").expect("a valid name"),
                version: format!("{id}"),
            },
            data_centre: DataCentreName::new("sofia").expect("a valid name"),
            endpoint: name(engine),
            id: OrderId(id),
        });
    }

    fn carry(&mut self, message: Message) {
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let slow = self.loss_percent > 0 && self.random.random_range(0..4) == 0;
        let delay_ms = if slow {
            self.random.random_range(0..ORDER_LIFE_MS)
        } else {
            self.random.random_range(0..500)
        };
        self.messages.push((self.now_ms + delay_ms, message));
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Reply(issuer, engine, attempt, fencing, reply) => {
                let endpoint = name(engine);
                self.tell(
                    issuer,
                    &Event::Answered {
                        attempt,
                        endpoint,
                        fencing,
                        reply,
                    },
                );
            }
            Message::ToEngine(issuer, engine, action) => {
                let (attempt, fencing, reply) = self.engines[engine].take(&action);
                self.carry(Message::Reply(issuer, engine, attempt, fencing, reply));
            }
        }
    }

    fn tell(&mut self, number: u64, event: &Event) {
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
                    let engine = place(endpoint);
                    self.carry(Message::ToEngine(number, engine, action));
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
            self.arrive(message);
        }
        self.issuers.retain(|(_, hosted)| hosted.until_ms > now_ms);
        for command in plan_starts(&self.orders, &[]) {
            self.propose(&command);
        }
        self.announce();
    }

    /// Issuers learn of a restart before answers of the run before.
    fn announce(&mut self) {
        let numbers: Vec<u64> = self.issuers.iter().map(|(number, _)| *number).collect();
        for number in numbers {
            for engine in 0..ENGINES {
                let known = &self.engines[engine];
                let event = Event::Announced {
                    checks_fencing: known.checks_fencing,
                    endpoint: name(engine),
                    incarnation: Incarnation(known.incarnation),
                };
                self.tell(number, &event);
            }
        }
    }

    fn restart_engine(&mut self) {
        let number = self.random.random_range(0..ENGINES);
        // Orders are for the run that they find; a restart after the end loses the state.
        let is_open = |order: &Order| order.endpoint == name(number);
        if self.orders.open().iter().any(is_open) {
            let engine = &mut self.engines[number];
            engine.incarnation += 1;
            engine.highest = Fencing(0);
            engine.state = None;
            self.announce();
        }
    }

    fn lose_endpoint(&mut self) {
        let endpoint = name(self.random.random_range(0..ENGINES));
        let number = self.issuers.last().expect("an issuer").0;
        self.tell(number, &Event::Gone { endpoint });
    }
}

impl Engine {
    fn take(&mut self, action: &Action) -> (u64, Fencing, Reply) {
        match *action {
            Action::ReadBack {
                attempt, fencing, ..
            } => {
                let matches = self.state == Some(fencing);
                (attempt, fencing, Reply::State { matches })
            }
            Action::Send {
                attempt, fencing, ..
            } if self.checks_fencing && fencing < self.highest => {
                (attempt, fencing, Reply::Refused)
            }
            Action::Send {
                attempt, fencing, ..
            } => {
                assert!(
                    self.state.is_none_or(|newest| newest <= fencing),
                    "order {fencing:?} took effect after {:?}",
                    self.state
                );
                self.highest = fencing;
                self.state = Some(fencing);
                (attempt, fencing, Reply::Done)
            }
            Action::Propose(_) => unreachable!("commands are not sent to engines"),
        }
    }
}

fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    while world.now_ms < FAULTS_MS {
        match world.random.random_range(0..1_000) {
            0..=39 => world.order(),
            40..=49 => world.change_leader(),
            50..=59 => world.restart_engine(),
            60..=64 => world.lose_endpoint(),
            _ => {}
        }
        world.step();
    }
    world.loss_percent = 0;
    while world.now_ms < FAULTS_MS + SETTLE_MS {
        world.step();
    }
    world
}

#[test]
fn every_endpoint_ends_in_the_state_last_accepted_and_no_older_order_wins() {
    let mut done = 0;
    for seed in 0..SEEDS {
        let world = run(seed);
        assert_eq!(world.orders.open(), [], "seed {seed}: orders stay open");
        for (number, engine) in world.engines.iter().enumerate() {
            let settled = world.orders.settled();
            let last = settled
                .filter(|settled| settled.order.endpoint == name(number))
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
