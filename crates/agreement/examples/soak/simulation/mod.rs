//! Replicas joined by a network that loses, delays, repeats and reorders, on disks that lose
//! what was not synced. Everything is drawn from one seed.

mod checker;
mod disk;
pub mod schedule;

use agreement::{
    Envelope, GroupId, Input, Member, MembershipChange, Output, Proposal, Replica, ReplicaStatus,
    RequestNumber, RoleName, Settings, StorageId,
};
use names::{InstanceName, LogIndex};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use checker::{Checker, check_log_matching};
use disk::Disk;

struct Node {
    applied: LogIndex,
    content: Vec<u8>,
    disk: Disk,
    member: Member,
    replica: Option<Replica>,
    skew_ms: u64,
}

/// A read that must see everything committed before it.
struct Read {
    committed: LogIndex,
    request: RequestNumber,
}

pub struct Simulation {
    blocked: Vec<(usize, usize)>,
    checker: Checker,
    loss_percent: u32,
    network: Vec<Envelope>,
    nodes: Vec<Node>,
    now_ms: u64,
    random: Xoshiro256PlusPlus,
    reads: Vec<Read>,
    reads_confirmed: u64,
    requests: u64,
    voters: usize,
}

/// What a run did.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub committed: usize,
    pub leaders: usize,
    pub reads_confirmed: u64,
    pub wiped: u64,
}

impl Summary {
    pub fn plus(self, other: Self) -> Self {
        Self {
            committed: self.committed + other.committed,
            leaders: self.leaders + other.leaders,
            reads_confirmed: self.reads_confirmed + other.reads_confirmed,
            wiped: self.wiped + other.wiped,
        }
    }
}

fn name(at: usize) -> InstanceName {
    InstanceName::new(&format!("node-{at}")).unwrap()
}

impl Simulation {
    /// Initial voters and one spare instance.
    pub fn new(seed: u64, voters: usize) -> Self {
        let mut simulation = Self {
            blocked: Vec::new(),
            checker: Checker::default(),
            loss_percent: 0,
            network: Vec::new(),
            nodes: Vec::new(),
            now_ms: 10_000_000,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            reads: Vec::new(),
            reads_confirmed: 0,
            requests: 0,
            voters,
        };
        for at in 0..=voters {
            let member = Member {
                name: name(at),
                storage: StorageId(simulation.random.random()),
            };
            simulation.nodes.push(Node {
                applied: LogIndex(0),
                content: Vec::new(),
                disk: Disk::default(),
                member,
                replica: None,
                skew_ms: 0,
            });
            simulation.start(at);
        }
        simulation
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[at];
        let initial = (0..self.voters).map(name).collect();
        let settings = Settings {
            append_bytes_max: 200,
            election_timeout_ms: 150,
            heartbeat_interval_ms: 20,
            in_flight_bytes_max: 600,
            retained_entries: 4,
            snapshot_chunk_bytes: 64,
            ..Settings::new(GroupId(1), node.member.clone(), initial)
        };
        let recovered = node.disk.recover();
        node.applied = LogIndex(0);
        node.content.clear();
        if let Some(snapshot) = &recovered.snapshot {
            node.applied = snapshot.index;
            node.content.clone_from(&snapshot.data);
        }
        let now_ms = self.now_ms + node.skew_ms;
        node.replica = Some(Replica::open(settings, recovered, now_ms, seed));
    }

    /// Stops a node; of its unsynced writes the first few survive.
    pub fn crash(&mut self, at: usize) {
        let kept = self.random.random_range(0..=self.nodes[at].disk.unsynced());
        self.nodes[at].disk.crash(kept);
        self.nodes[at].replica = None;
    }

    /// Stops a node and gives it an empty disk with a new identity.
    pub fn wipe(&mut self, at: usize) {
        let storage = StorageId(self.random.random());
        let node = &mut self.nodes[at];
        node.replica = None;
        node.disk = Disk::default();
        node.member.storage = storage;
    }

    pub fn handle(&mut self, at: usize, input: Input) {
        let now_ms = self.now_ms + self.nodes[at].skew_ms;
        let Some(replica) = &mut self.nodes[at].replica else {
            return;
        };
        let mut outputs = Vec::new();
        replica.handle(now_ms, input, &mut outputs);
        for output in outputs {
            self.carry_out(at, output);
        }
        self.observe_leader(at);
    }

    pub fn sync(&mut self, at: usize, count: usize) {
        for synced in self.nodes[at].disk.sync(count) {
            self.handle(at, Input::Synced(synced));
        }
    }

    pub fn pass_time(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        for at in 0..self.nodes.len() {
            self.handle(at, Input::Tick);
        }
    }

    pub fn propose(&mut self, at: usize, count: u64) {
        let proposals = (0..count)
            .map(|_| {
                let request = self.next_request();
                Proposal {
                    command: request.0.to_be_bytes().to_vec(),
                    request,
                }
            })
            .collect();
        let at_ms = self.now_ms;
        self.handle(at, Input::Propose { at_ms, proposals });
    }

    pub fn change(&mut self, at: usize, change: MembershipChange) {
        let request = self.next_request();
        let at_ms = self.now_ms;
        let input = Input::Change {
            at_ms,
            change,
            request,
        };
        self.handle(at, input);
    }

    pub fn confirm(&mut self, at: usize) {
        let request = self.next_request();
        let committed = self.checker.last();
        self.reads.push(Read { committed, request });
        self.handle(at, Input::Confirm { request });
    }

    pub fn compact(&mut self, at: usize) {
        let (data, index) = (self.nodes[at].content.clone(), self.nodes[at].applied);
        self.handle(at, Input::Compact { data, index });
    }

    pub fn leader(&self) -> Option<usize> {
        let statuses = (0..self.nodes.len()).filter_map(|at| Some((at, self.status(at)?)));
        statuses
            .filter(|(_, status)| status.role == RoleName::Leader)
            .max_by_key(|(_, status)| status.term)
            .map(|(at, _)| at)
    }

    pub fn status(&self, at: usize) -> Option<ReplicaStatus> {
        self.nodes[at].replica.as_ref().map(Replica::status)
    }

    /// Whether the leader's committed membership has every running voter with its present disk.
    pub fn lost_voters(&self) -> usize {
        let Some(status) = self.leader().and_then(|at| self.status(at)) else {
            return self.voters;
        };
        let is_whole = |node: &Node| status.membership.is_voter(&node.member);
        let whole = self.nodes[..self.voters]
            .iter()
            .filter(|node| is_whole(node));
        if status.membership_committed {
            self.voters - whole.count()
        } else {
            self.voters
        }
    }

    /// Runs without faults until every node has applied everything.
    pub fn settle(&mut self) {
        self.blocked.clear();
        self.loss_percent = 0;
        for at in 0..self.nodes.len() {
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
        for _ in 0..3_000 {
            self.pass_time(10);
            self.repair();
            for _ in 0..3 {
                self.exchange();
            }
            if self.is_settled() {
                return;
            }
        }
        let statuses: Vec<_> = (0..self.nodes.len()).map(|at| self.status(at)).collect();
        panic!("no leader with whole voters after faults ended: {statuses:#?}");
    }

    pub fn check_logs(&self) {
        let views: Vec<_> = self.nodes.iter().map(|node| node.disk.view().1).collect();
        for (at, a) in views.iter().enumerate() {
            for b in &views[at + 1..] {
                check_log_matching(a, b);
            }
        }
    }

    /// Joins blank instances that introduced themselves under the name of an initial voter.
    pub fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let non_members = self.status(leader).unwrap().non_members;
        let joins = non_members.into_iter().filter(|member| {
            let at = self.nodes.iter().position(|node| node.member == *member);
            at.is_some_and(|at| at < self.voters)
        });
        for member in joins.collect::<Vec<_>>() {
            let promote = true;
            self.change(leader, MembershipChange::Join { member, promote });
        }
    }

    fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.status(leader).unwrap();
        let applied = |node: &Node| node.applied == status.last_index;
        let members = self
            .nodes
            .iter()
            .filter(|node| status.membership.member(&node.member.name) == Some(&node.member));
        self.lost_voters() == 0 && members.into_iter().all(applied)
    }

    fn exchange(&mut self) {
        for envelope in std::mem::take(&mut self.network) {
            self.deliver(envelope);
        }
        for at in 0..self.nodes.len() {
            self.sync(at, self.nodes[at].disk.unsynced());
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = self
            .nodes
            .iter()
            .position(|node| node.member.name == envelope.to);
        self.handle(to.unwrap(), Input::Message(envelope));
    }

    fn next_request(&mut self) -> RequestNumber {
        self.requests += 1;
        RequestNumber(self.requests)
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::Appended { .. } | Output::HandingOver { .. } | Output::Refused { .. } => {}
            Output::Commit(entries) => {
                for entry in entries {
                    self.apply(at, &entry);
                }
            }
            Output::Confirmed { index, request } => self.on_confirmed(index, request),
            Output::Persist(write) => self.nodes[at].disk.write(write),
            Output::Restore(snapshot) => {
                let node = &mut self.nodes[at];
                node.applied = snapshot.index;
                node.content.clone_from(&snapshot.data);
                assert_eq!(node.content, self.checker.content(snapshot.index));
            }
            Output::Send(envelope) => self.send(at, envelope),
        }
    }

    fn apply(&mut self, at: usize, entry: &agreement::Entry) {
        self.checker.on_commit(entry);
        let node = &mut self.nodes[at];
        assert_eq!(
            entry.index.0,
            node.applied.0 + 1,
            "entries are applied in order"
        );
        node.applied = entry.index;
        if let agreement::Payload::Command(command) = &entry.payload {
            node.content.extend_from_slice(command);
        }
    }

    fn on_confirmed(&mut self, index: LogIndex, request: RequestNumber) {
        let at = self.reads.iter().position(|read| read.request == request);
        let read = self
            .reads
            .swap_remove(at.expect("a read is confirmed once"));
        assert!(
            index >= read.committed,
            "read at {index} misses position {} committed before it",
            read.committed
        );
        self.reads_confirmed += 1;
    }

    fn send(&mut self, at: usize, envelope: Envelope) {
        let to = self
            .nodes
            .iter()
            .position(|node| node.member.name == envelope.to);
        let is_blocked = self.blocked.contains(&(at, to.unwrap()));
        let is_lost = self.random.random_range(0..100) < self.loss_percent;
        if is_blocked || is_lost {
            return;
        }
        if self.random.random_range(0..100) < self.loss_percent {
            self.network.push(envelope.clone());
        }
        self.network.push(envelope);
    }

    fn observe_leader(&mut self, at: usize) {
        let Some(status) = self.status(at) else {
            return;
        };
        if status.role == RoleName::Leader {
            let (base, log) = self.nodes[at].disk.view();
            self.checker
                .on_leader(status.term, &status.member.name, base, &log);
        }
    }
}
