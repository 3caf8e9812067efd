//! Simulates the session state machines of many instances with one event queue.
//!
//! Consensus is not simulated: at most one leader is confirmed at a time and commits are immediate.
//! Messages may be lost or delayed, and links cut in one direction. Instances crash, restart, stall
//! and drain.

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

/// Time without a confirmed leader before the next voter becomes leader.
const ELECTION_MS: u64 = 1_500;

const PLAN_INTERVAL_MS: u64 = 100;

/// Size of a fleet and message loss of its network.
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
    /// Number of the request, and the answer.
    Answer(u64, Box<SyncAnswer>),
    /// Index of the sending node, number of the request, and the request.
    Request(usize, u64, Box<SyncRequest>),
}

#[derive(Debug)]
pub struct OutgoingMessage {
    pub message: Message,
    pub to: usize,
}

#[derive(Debug)]
enum Event {
    Deliver(OutgoingMessage),
    /// A wake-up that the instance scheduled; ignored if it has scheduled an earlier one since.
    Timer(usize),
    Wake(usize),
}

/// State committed by the voters, with the changes of the table.
#[derive(Debug, Default)]
pub struct Committed {
    pub assignments: Assignments,
    pub changes: Vec<VersionedItem>,
    pub index: u64,
    /// Number of changes of the table.
    pub table_revision: u64,
    pub term: u64,
}

/// Messages and bytes sent by one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

#[derive(Debug)]
pub struct Fleet {
    pub committed: Committed,
    /// Pairs of node indexes, sender and receiver, between which no message arrives.
    pub cut_links: Vec<(usize, usize)>,
    pub in_force_revision: LogIndex,
    /// Counts the traffic instead of checking the invariants.
    pub is_measured: bool,
    pub leader: usize,
    pub loss_percent: u64,
    pub nodes: Vec<Node>,
    pub now_ms: u64,
    pub random: Xoshiro256PlusPlus,
    /// Names removed from the leader's roster, with the time in milliseconds.
    pub removed: Vec<(u64, InstanceName)>,
    pub seed: u64,
    /// Share of messages that are delayed by up to two seconds.
    pub slow_percent: u64,
    pub traffic: Vec<Traffic>,
    confirmed_ms: u64,
    /// Keyed by time and event number.
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
            .map(|node_index| {
                let member = member(node_index, layout);
                Node::new(node_index, member, random.random_range(0..1_000_000))
            })
            .collect();
        let mut fleet = Self {
            committed: Committed {
                term: 1,
                ..Committed::default()
            },
            confirmed_ms: 0,
            cut_links: Vec::new(),
            events: BTreeMap::new(),
            in_force_revision: LogIndex(0),
            leader: 0,
            loss_percent: layout.loss_percent,
            removed: Vec::new(),
            is_measured: false,
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
        for node_index in 0..layout.instances {
            let at_ms = fleet.random.random_range(0..500);
            fleet.push(at_ms, Event::Wake(node_index));
        }
        fleet
    }

    /// Advances the time; checks the invariants after each event unless `is_measured` is set.
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
            if !self.is_measured {
                self.check();
            }
        }
        self.now_ms = until_ms;
    }

    /// Commits a change of the table.
    pub fn edit(&mut self, change: Option<VersionedItem>) {
        self.committed.index += 1;
        self.committed.table_revision += 1;
        self.committed.changes.extend(change);
        // The leader sees the commit immediately.
        self.push(self.now_ms, Event::Wake(self.leader));
    }

    /// Replaces a node by a new process of the same instance.
    pub fn restart(&mut self, node_index: usize, incarnation: u64) {
        let start_nonce = self.random.random();
        let member = Member {
            incarnation: Incarnation(incarnation),
            start_nonce,
            state: MemberState::Serving,
            ..self.nodes[node_index].member.clone()
        };
        if node_index == self.leader {
            // A restarted voter leads only in a new term.
            self.committed.term += 1;
        }
        let offset_ms = self.random.random_range(0..1_000_000);
        self.nodes[node_index] = Node::new(node_index, member, offset_ms);
        self.push(self.now_ms, Event::Wake(node_index));
    }

    /// Adds a second process with the name of an existing node.
    pub fn start_duplicate(&mut self, original: usize, incarnation: u64) -> usize {
        let node_index = self.nodes.len();
        let node = Node::new(node_index, self.nodes[original].member.clone(), 0);
        self.nodes.push(node);
        self.traffic.push(Traffic::default());
        self.restart(node_index, incarnation);
        node_index
    }

    /// Whether a node is the leader and reaches a quorum of voters in both directions.
    pub fn is_confirmed_leader(&self, node_index: usize) -> bool {
        let reachable = (0..self.voters.len()).filter(|&voter| {
            voter == node_index
                || (self.is_running(voter)
                    && !self.cut_links.contains(&(node_index, voter))
                    && !self.cut_links.contains(&(voter, node_index)))
        });
        node_index == self.leader
            && self.is_running(node_index)
            && reachable.count() > self.voters.len() / 2
    }

    pub fn is_running(&self, node_index: usize) -> bool {
        let node = &self.nodes[node_index];
        node.alive && node.stalled_until_ms <= self.now_ms
    }

    /// Indexes of the nodes that currently act as owner of a shard.
    pub fn acting_owners(&self, shard: &Shard) -> Vec<usize> {
        let acting = |node: &&Node| node.acts_as_owner(self.now_ms, shard);
        let nodes = self.nodes.iter().filter(acting);
        nodes.map(|node| node.index).collect()
    }

    fn check(&mut self) {
        for assignment in self.committed.assignments.iter() {
            let acting_owners = self.acting_owners(&assignment.shard);
            assert!(
                acting_owners.len() <= 1,
                "seed {}, {} ms: {acting_owners:?} act for {} at once",
                self.seed,
                self.now_ms,
                assignment.shard
            );
        }
        for node in &self.nodes {
            let in_force_revision = node.state.in_force_revision;
            if in_force_revision > self.in_force_revision {
                self.in_force_revision = in_force_revision;
            }
        }
        for node in self
            .nodes
            .iter()
            .filter(|node| node.admits_work(self.now_ms))
        {
            assert!(
                node.table_revision() >= self.in_force_revision.0,
                "seed {}, {} ms: {} at {} admits on revision {}, but {} is in force",
                self.seed,
                self.now_ms,
                node.member.name,
                node.index,
                node.table_revision(),
                self.in_force_revision
            );
            for assignment in node.state.assignments.iter() {
                let committed = self.committed.assignments.get(&assignment.shard);
                let epoch = committed.map_or(Epoch(0), |committed| committed.epoch);
                assert!(
                    assignment.epoch <= epoch,
                    "an epoch that was never committed"
                );
            }
        }
    }

    fn deliver(&mut self, outgoing: OutgoingMessage) {
        let to = outgoing.to;
        if !self.nodes[to].alive {
            return;
        }
        if !self.is_running(to) {
            let at_ms = self.nodes[to].stalled_until_ms;
            self.push(at_ms, Event::Deliver(outgoing));
            return;
        }
        let leads = self.is_confirmed_leader(to);
        let node = &mut self.nodes[to];
        match outgoing.message {
            Message::Answer(number, answer) => node.handle_answer(self.now_ms, number, *answer),
            Message::Request(from, number, request) => {
                node.handle_request(self.now_ms, from, number, *request, leads);
            }
        }
        self.wake(to);
    }

    fn elect(&mut self) {
        if self.is_confirmed_leader(self.leader) {
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
            Event::Deliver(outgoing) => self.deliver(outgoing),
            Event::Timer(node_index) => {
                if self.nodes[node_index]
                    .wake_ms
                    .take_if(|at_ms| *at_ms == self.now_ms)
                    .is_some()
                {
                    self.wake(node_index);
                }
            }
            Event::Wake(node_index) => self.wake(node_index),
        }
    }

    fn node_index_of(&self, name: &InstanceName) -> Option<usize> {
        self.nodes.iter().position(|node| node.member.name == *name)
    }

    fn plan(&mut self) {
        let leader = self.leader;
        if self.now_ms < self.planned_ms + PLAN_INTERVAL_MS || !self.is_confirmed_leader(leader) {
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

    fn send(&mut self, from: usize, outgoing: OutgoingMessage) {
        if self.is_measured {
            let length = match &outgoing.message {
                Message::Answer(_, answer) => to_allocvec(answer),
                Message::Request(_, _, request) => to_allocvec(request),
            };
            let traffic = &mut self.traffic[from];
            traffic.bytes += length.expect("messages encode").len() as u64;
            traffic.messages += 1;
        }
        let is_lost = self.random.random_range(0..100) < self.loss_percent;
        if is_lost || self.cut_links.contains(&(from, outgoing.to)) {
            return;
        }
        let is_local =
            self.nodes[from].member.data_centre == self.nodes[outgoing.to].member.data_centre;
        let delay_ms = match self.random.random_range(0..100) {
            drawn if drawn < self.slow_percent => self.random.random_range(0..2_000),
            _ if is_local => self.random.random_range(0..3),
            _ => self.random.random_range(5..25),
        };
        self.push(self.now_ms + delay_ms, Event::Deliver(outgoing));
    }

    fn wake(&mut self, node_index: usize) {
        if !self.nodes[node_index].alive {
            return;
        }
        if !self.is_running(node_index) {
            let at_ms = self.nodes[node_index].stalled_until_ms;
            self.push(at_ms, Event::Wake(node_index));
            return;
        }
        if self.is_confirmed_leader(node_index) {
            let removed = self.nodes[node_index].lead(self.now_ms, &self.committed);
            let now_ms = self.now_ms;
            self.removed
                .extend(removed.into_iter().map(|name| (now_ms, name)));
        } else {
            let chosen = self.nodes[node_index].subscribe(self.now_ms, &self.voters);
            if let Some((publisher, message)) = chosen
                && let Some(to) = self.node_index_of(&publisher)
            {
                self.send(node_index, OutgoingMessage { message, to });
            }
        }
        let answers = self.nodes[node_index].answer_due_requests(self.now_ms, &self.committed);
        for answer in answers {
            self.send(node_index, answer);
        }
        let next_ms = self.nodes[node_index].next_wake_ms(self.now_ms);
        let node = &mut self.nodes[node_index];
        if node.wake_ms.is_none_or(|at_ms| next_ms < at_ms) {
            node.wake_ms = Some(next_ms);
            self.push(next_ms, Event::Timer(node_index));
        }
    }
}

fn member(node_index: usize, layout: &Layout) -> Member {
    let mut member = super::member(node_index);
    let data_centre = format!("dc{}", node_index % layout.data_centres);
    member.data_centre = data_centre.parse().expect("a valid name");
    if node_index < layout.voters {
        member.roles.insert(0, Role::Control);
    }
    member
}
