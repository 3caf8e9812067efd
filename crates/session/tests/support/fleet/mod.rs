//! State machines of many instances, joined by one queue of events.
//!
//! Agreement is taken as given: one leader confirms at a time and every commit is at once. Messages
//! may be lost, delayed or cut off in one direction; instances crash, restart, stall and drain.

mod node;

use std::collections::BTreeMap;

use names::{Epoch, Incarnation, InstanceName, LogIndex};
use postcard::to_allocvec;
use protocol::{SyncAnswer, SyncRequest};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use session::{Assignments, Member, MemberState, Role, Shard};
use table::VersionedItem;

pub use node::Node;

/// Time without a confirmed leader before the voters choose another.
const ELECTION_MS: u64 = 1_500;

const PLAN_INTERVAL_MS: u64 = 100;

/// How a fleet is laid out and what its network does.
#[derive(Clone, Debug)]
pub struct Layout {
    pub data_centres: usize,
    pub instances: usize,
    pub loss_percent: u64,
    pub seed: u64,
    pub voters: usize,
}

/// A message between instances.
#[derive(Clone, Debug)]
pub enum Message {
    Answer(u64, Box<SyncAnswer>),
    Request(usize, u64, Box<SyncRequest>),
}

#[derive(Debug)]
pub struct Sent {
    pub message: Message,
    pub to: usize,
}

#[derive(Debug)]
enum Event {
    Deliver(Sent),
    /// The time that the instance last asked for.
    Timer(usize),
    Wake(usize),
}

/// What the voters have committed, with the changes of the table.
#[derive(Debug, Default)]
pub struct Committed {
    pub assignments: Assignments,
    pub changes: Vec<VersionedItem>,
    pub index: u64,
    /// Revision of the table: the number of changes.
    pub table: u64,
    pub term: u64,
}

/// Messages and bytes sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

#[derive(Debug)]
pub struct Fleet {
    pub committed: Committed,
    /// Pairs of places, from and to, between which nothing arrives.
    pub cut: Vec<(usize, usize)>,
    pub in_force: LogIndex,
    pub leader: usize,
    pub loss_percent: u64,
    /// Names that left the leader's roster, with the time.
    pub lost: Vec<(u64, InstanceName)>,
    pub measures: bool,
    pub nodes: Vec<Node>,
    pub now_ms: u64,
    pub random: Xoshiro256PlusPlus,
    pub seed: u64,
    /// Share of messages that take up to two seconds.
    pub slow_percent: u64,
    pub traffic: Vec<Traffic>,
    confirmed_ms: u64,
    /// By time and number.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    planned_ms: u64,
    voters: Vec<InstanceName>,
}

impl Fleet {
    pub fn new(layout: &Layout) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(layout.seed);
        let voters = (0..layout.voters).map(super::instance).collect();
        let nodes: Vec<Node> = (0..layout.instances)
            .map(|place| {
                let member = member(place, layout);
                Node::new(place, member, random.random_range(0..1_000_000))
            })
            .collect();
        let mut fleet = Self {
            committed: Committed {
                term: 1,
                ..Committed::default()
            },
            confirmed_ms: 0,
            cut: Vec::new(),
            events: BTreeMap::new(),
            in_force: LogIndex(0),
            leader: 0,
            loss_percent: layout.loss_percent,
            lost: Vec::new(),
            measures: false,
            next_event: 0,
            now_ms: 0,
            planned_ms: 0,
            seed: layout.seed,
            slow_percent: 0,
            random,
            traffic: vec![Traffic::default(); nodes.len()],
            nodes,
            voters,
        };
        for place in 0..layout.instances {
            let at_ms = fleet.random.random_range(0..500);
            fleet.push(at_ms, Event::Wake(place));
        }
        fleet
    }

    /// Lets time pass; checks the invariants after each event unless the run is measured.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            let (at_ms, _) = *entry.key();
            if at_ms > until_ms {
                break;
            }
            self.now_ms = at_ms;
            let event = entry.remove();
            self.handle(event);
            self.elect();
            self.plan();
            if !self.measures {
                self.check();
            }
        }
        self.now_ms = until_ms;
    }

    /// Commits a change of the table.
    pub fn edit(&mut self, change: Option<VersionedItem>) {
        self.committed.index += 1;
        self.committed.table += 1;
        self.committed.changes.extend(change);
        // The leader sees the commit at once.
        self.push(self.now_ms, Event::Wake(self.leader));
    }

    /// Starts another run at the same place, its wall clock moved by `jump_ms`.
    pub fn restart(&mut self, place: usize, incarnation: u64) {
        let start_nonce = self.random.random();
        let member = Member {
            incarnation: Incarnation(incarnation),
            start_nonce,
            state: MemberState::Serving,
            ..self.nodes[place].member.clone()
        };
        if place == self.leader {
            // A voter that restarts leads only in a new term.
            self.committed.term += 1;
        }
        let offset_ms = self.random.random_range(0..1_000_000);
        self.nodes[place] = Node::new(place, member, offset_ms);
        self.push(self.now_ms, Event::Wake(place));
    }

    /// Adds a second instance under the name of another.
    pub fn start_twin(&mut self, of: usize, incarnation: u64) -> usize {
        let place = self.nodes.len();
        let node = Node::new(place, self.nodes[of].member.clone(), 0);
        self.nodes.push(node);
        self.traffic.push(Traffic::default());
        self.restart(place, incarnation);
        place
    }

    /// Whether the leader reaches a quorum of voters both ways.
    pub fn confirms(&self, place: usize) -> bool {
        let reached = (0..self.voters.len()).filter(|&voter| {
            voter == place
                || (self.is_running(voter)
                    && !self.cut.contains(&(place, voter))
                    && !self.cut.contains(&(voter, place)))
        });
        place == self.leader && self.is_running(place) && reached.count() > self.voters.len() / 2
    }

    pub fn is_running(&self, place: usize) -> bool {
        let node = &self.nodes[place];
        node.alive && node.stalled_until_ms <= self.now_ms
    }

    /// Places that act as owner of a shard now.
    pub fn owners(&self, shard: &Shard) -> Vec<usize> {
        let acting = |node: &&Node| node.acts(self.now_ms, shard);
        let nodes = self.nodes.iter().filter(acting);
        nodes.map(|node| node.place).collect()
    }

    fn check(&mut self) {
        for assignment in self.committed.assignments.iter() {
            let owners = self.owners(&assignment.shard);
            assert!(
                owners.len() <= 1,
                "seed {}, {} ms: {owners:?} act for {} at once",
                self.seed,
                self.now_ms,
                assignment.shard
            );
        }
        for node in &self.nodes {
            let told = node.held.in_force;
            if told > self.in_force {
                self.in_force = told;
            }
        }
        for node in self.nodes.iter().filter(|node| node.admits(self.now_ms)) {
            assert!(
                node.table() >= self.in_force.0,
                "seed {}, {} ms: {} at {} admits on revision {}, {} is said to be in force",
                self.seed,
                self.now_ms,
                node.member.name,
                node.place,
                node.table(),
                self.in_force
            );
            for held in node.held.assignments.iter() {
                let committed = self.committed.assignments.get(&held.shard);
                let epoch = committed.map_or(Epoch(0), |committed| committed.epoch);
                assert!(held.epoch <= epoch, "an epoch that was never committed");
            }
        }
    }

    fn deliver(&mut self, sent: Sent) {
        let to = sent.to;
        if !self.nodes[to].alive {
            return;
        }
        if !self.is_running(to) {
            let at_ms = self.nodes[to].stalled_until_ms;
            self.push(at_ms, Event::Deliver(sent));
            return;
        }
        let leads = self.confirms(to);
        let node = &mut self.nodes[to];
        match sent.message {
            Message::Answer(number, answer) => node.answered(self.now_ms, number, *answer),
            Message::Request(from, number, request) => {
                node.requested(self.now_ms, from, number, *request, leads);
            }
        }
        self.wake(to);
    }

    fn elect(&mut self) {
        if self.confirms(self.leader) {
            self.confirmed_ms = self.now_ms;
        }
        if self.now_ms < self.confirmed_ms + ELECTION_MS {
            return;
        }
        let voters = self.voters.len();
        self.leader = (self.leader + 1) % voters;
        self.committed.term += 1;
        self.confirmed_ms = self.now_ms;
        self.push(self.now_ms, Event::Wake(self.leader));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(sent) => self.deliver(sent),
            Event::Timer(place) => {
                if self.nodes[place]
                    .wake_ms
                    .take_if(|at_ms| *at_ms == self.now_ms)
                    .is_some()
                {
                    self.wake(place);
                }
            }
            Event::Wake(place) => self.wake(place),
        }
    }

    fn place_of(&self, name: &InstanceName) -> Option<usize> {
        self.nodes.iter().position(|node| node.member.name == *name)
    }

    fn plan(&mut self) {
        let leader = self.leader;
        if self.now_ms < self.planned_ms + PLAN_INTERVAL_MS || !self.confirms(leader) {
            return;
        }
        self.planned_ms = self.now_ms;
        for command in self.nodes[leader].plan(self.now_ms) {
            self.committed.index += 1;
            let index = LogIndex(self.committed.index);
            self.committed.assignments.apply(index, &command);
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        let at_ms = at_ms.max(self.now_ms);
        self.events.insert((at_ms, self.next_event), event);
    }

    fn send(&mut self, from: usize, sent: Sent) {
        if self.measures {
            let length = match &sent.message {
                Message::Answer(_, answer) => to_allocvec(answer),
                Message::Request(_, _, request) => to_allocvec(request),
            };
            let traffic = &mut self.traffic[from];
            traffic.bytes += length.expect("messages encode").len() as u64;
            traffic.messages += 1;
        }
        let is_lost = self.random.random_range(0..100) < self.loss_percent;
        if is_lost || self.cut.contains(&(from, sent.to)) {
            return;
        }
        let near = self.nodes[from].member.data_centre == self.nodes[sent.to].member.data_centre;
        let delay_ms = match self.random.random_range(0..100) {
            drawn if drawn < self.slow_percent => self.random.random_range(0..2_000),
            _ if near => self.random.random_range(0..3),
            _ => self.random.random_range(5..25),
        };
        self.push(self.now_ms + delay_ms, Event::Deliver(sent));
    }

    fn wake(&mut self, place: usize) {
        if !self.nodes[place].alive {
            return;
        }
        if !self.is_running(place) {
            let at_ms = self.nodes[place].stalled_until_ms;
            self.push(at_ms, Event::Wake(place));
            return;
        }
        if self.confirms(place) {
            let lost = self.nodes[place].lead(self.now_ms, &self.committed);
            let now_ms = self.now_ms;
            self.lost
                .extend(lost.into_iter().map(|name| (now_ms, name)));
        } else {
            let chosen = self.nodes[place].subscribe(self.now_ms, &self.voters);
            if let Some((publisher, message)) = chosen
                && let Some(to) = self.place_of(&publisher)
            {
                self.send(place, Sent { message, to });
            }
        }
        let answers = self.nodes[place].answer(self.now_ms, &self.committed);
        for answer in answers {
            self.send(place, answer);
        }
        let next_ms = self.nodes[place].next_wake_ms(self.now_ms);
        let node = &mut self.nodes[place];
        if node.wake_ms.is_none_or(|at_ms| next_ms < at_ms) {
            node.wake_ms = Some(next_ms);
            self.push(next_ms, Event::Timer(place));
        }
    }
}

fn member(place: usize, layout: &Layout) -> Member {
    let mut member = super::member(place);
    let data_centre = format!("dc{}", place % layout.data_centres);
    member.data_centre = data_centre.parse().expect("a valid name");
    if place < layout.voters {
        member.roles.insert(0, Role::Control);
    }
    member
}
