//! Simulated replicas on a network that loses, delays, repeats and reorders messages, and on disks
//! that lose unsynced writes in a crash. All random choices are made from one seed.

mod checker;
mod disk;
pub mod schedule;

use agreement::{
    Envelope, GroupId, Input, Member, MembershipChange, Output, Proposal, Replica,
    ReplicaRequestId, ReplicaRole, ReplicaStatus, Settings, StorageId,
};
use names::{InstanceName, LogIndex};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use checker::{SafetyChecker, check_log_matching};
use disk::SimulatedDisk;

/// Simulated instance.
struct Node {
    applied_index: LogIndex,
    disk: SimulatedDisk,
    member: Member,
    replica: Option<Replica>,
    /// How far the node's clock is ahead.
    skew_ms: u64,
    /// State of the state machine: all commands, concatenated.
    state: Vec<u8>,
}

/// Read index request; the index returned must not be less than `committed`.
struct PendingRead {
    committed: LogIndex,
    request: ReplicaRequestId,
}

/// Simulated group: nodes, network, clock and safety checks.
pub struct Simulation {
    blocked_links: Vec<(usize, usize)>,
    checker: SafetyChecker,
    in_flight_messages: Vec<Envelope>,
    last_request_id: u64,
    loss_percent: u32,
    nodes: Vec<Node>,
    now_ms: u64,
    pending_reads: Vec<PendingRead>,
    random: Xoshiro256PlusPlus,
    reads_confirmed: u64,
    voter_count: usize,
}

/// Counts of one or several simulations.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub committed: usize,
    pub leaders: usize,
    pub reads_confirmed: u64,
    pub wiped: u64,
}

impl Summary {
    pub fn combine(self, other: Self) -> Self {
        Self {
            committed: self.committed + other.committed,
            leaders: self.leaders + other.leaders,
            reads_confirmed: self.reads_confirmed + other.reads_confirmed,
            wiped: self.wiped + other.wiped,
        }
    }
}

fn instance_name(node_id: usize) -> InstanceName {
    InstanceName::new(&format!("node-{node_id}")).unwrap()
}

impl Simulation {
    /// Creates `voter_count` initial voters and one spare instance that is no initial voter.
    pub fn new(seed: u64, voter_count: usize) -> Self {
        let mut simulation = Self {
            blocked_links: Vec::new(),
            checker: SafetyChecker::default(),
            in_flight_messages: Vec::new(),
            last_request_id: 0,
            loss_percent: 0,
            nodes: Vec::new(),
            now_ms: 10_000_000,
            pending_reads: Vec::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            reads_confirmed: 0,
            voter_count,
        };
        for node_id in 0..=voter_count {
            let member = Member {
                name: instance_name(node_id),
                storage: StorageId(simulation.random.random()),
            };
            simulation.nodes.push(Node {
                applied_index: LogIndex(0),
                disk: SimulatedDisk::default(),
                member,
                replica: None,
                skew_ms: 0,
                state: Vec::new(),
            });
            simulation.start(node_id);
        }
        simulation
    }

    pub fn start(&mut self, node_id: usize) {
        let seed = self.random.random();
        let node = &mut self.nodes[node_id];
        let initial_voters = (0..self.voter_count).map(instance_name).collect();
        let settings = Settings {
            append_bytes_max: 200,
            election_timeout_ms: 150,
            heartbeat_interval_ms: 20,
            in_flight_bytes_max: 600,
            retained_entries: 4,
            snapshot_chunk_bytes: 64,
            ..Settings::new(GroupId(1), node.member.clone(), initial_voters)
        };
        let recovered = node.disk.recover();
        node.applied_index = LogIndex(0);
        node.state.clear();
        if let Some(snapshot) = &recovered.snapshot {
            node.applied_index = snapshot.index;
            node.state.clone_from(&snapshot.data);
        }
        let now_ms = self.now_ms + node.skew_ms;
        node.replica = Some(Replica::open(settings, recovered, now_ms, seed));
    }

    /// Stops a node; a random number of its oldest unsynced writes become durable.
    pub fn crash(&mut self, node_id: usize) {
        let kept_writes = self
            .random
            .random_range(0..=self.nodes[node_id].disk.unsynced_write_count());
        self.nodes[node_id].disk.crash(kept_writes);
        self.nodes[node_id].replica = None;
    }

    /// Stops a node and gives it an empty disk with a new identity.
    pub fn wipe(&mut self, node_id: usize) {
        let storage = StorageId(self.random.random());
        let node = &mut self.nodes[node_id];
        node.replica = None;
        node.disk = SimulatedDisk::default();
        node.member.storage = storage;
    }

    pub fn handle(&mut self, node_id: usize, input: Input) {
        let now_ms = self.now_ms + self.nodes[node_id].skew_ms;
        let Some(replica) = &mut self.nodes[node_id].replica else {
            return;
        };
        let mut outputs = Vec::new();
        replica.handle(now_ms, input, &mut outputs);
        for output in outputs {
            self.execute(node_id, output);
        }
        self.check_leader_of_node(node_id);
    }

    pub fn sync(&mut self, node_id: usize, count: usize) {
        for durable in self.nodes[node_id].disk.sync(count) {
            self.handle(node_id, Input::WriteDurable(durable));
        }
    }

    pub fn advance_time(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        for node_id in 0..self.nodes.len() {
            self.handle(node_id, Input::Tick);
        }
    }

    pub fn propose(&mut self, node_id: usize, count: u64) {
        let proposals = (0..count)
            .map(|_| {
                let request = self.next_request();
                Proposal {
                    command: request.0.to_be_bytes().to_vec(),
                    request,
                }
            })
            .collect();
        let timestamp_ms = self.now_ms;
        self.handle(
            node_id,
            Input::Propose {
                proposals,
                timestamp_ms,
            },
        );
    }

    pub fn change(&mut self, node_id: usize, change: MembershipChange) {
        let request = self.next_request();
        let timestamp_ms = self.now_ms;
        let input = Input::ChangeMembership {
            change,
            request,
            timestamp_ms,
        };
        self.handle(node_id, input);
    }

    pub fn request_read_index(&mut self, node_id: usize) {
        let request = self.next_request();
        let committed = self.checker.last_index();
        self.pending_reads.push(PendingRead { committed, request });
        self.handle(node_id, Input::ReadIndex { request });
    }

    pub fn compact(&mut self, node_id: usize) {
        let (data, index) = (
            self.nodes[node_id].state.clone(),
            self.nodes[node_id].applied_index,
        );
        self.handle(node_id, Input::Compact { data, index });
    }

    pub fn leader(&self) -> Option<usize> {
        let statuses =
            (0..self.nodes.len()).filter_map(|node_id| Some((node_id, self.status(node_id)?)));
        statuses
            .filter(|(_, status)| status.role == ReplicaRole::Leader)
            .max_by_key(|(_, status)| status.term)
            .map(|(node_id, _)| node_id)
    }

    pub fn status(&self, node_id: usize) -> Option<ReplicaStatus> {
        self.nodes[node_id].replica.as_ref().map(Replica::status)
    }

    /// Number of initial voters that are not voters with their current storage identity in the
    /// leader's committed membership; all of them if that is unknown.
    pub fn missing_voter_count(&self) -> usize {
        let Some(status) = self.leader().and_then(|node_id| self.status(node_id)) else {
            return self.voter_count;
        };
        let is_voter = |node: &Node| status.membership.is_voter(&node.member);
        let present_voters = self.nodes[..self.voter_count]
            .iter()
            .filter(|node| is_voter(node));
        if status.membership_committed {
            self.voter_count - present_voters.count()
        } else {
            self.voter_count
        }
    }

    /// Runs without faults until every member has applied the leader's whole log.
    pub fn run_until_settled(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        for node_id in 0..self.nodes.len() {
            if self.nodes[node_id].replica.is_none() {
                self.start(node_id);
            }
        }
        for _ in 0..3_000 {
            self.advance_time(10);
            self.rejoin_wiped_voters();
            for _ in 0..3 {
                self.deliver_and_sync_all();
            }
            if self.is_settled() {
                return;
            }
        }
        let statuses: Vec<_> = (0..self.nodes.len())
            .map(|node_id| self.status(node_id))
            .collect();
        panic!("no leader with all initial voters after the faults ended: {statuses:#?}");
    }

    pub fn check_logs(&self) {
        let logs: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.disk.snapshot_index_and_entries().1)
            .collect();
        for (position, a) in logs.iter().enumerate() {
            for b in &logs[position + 1..] {
                check_log_matching(a, b);
            }
        }
    }

    /// Adds wiped initial voters, which have sent a `Hello` with a new storage identity.
    pub fn rejoin_wiped_voters(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let non_members = self.status(leader).unwrap().non_members;
        let wiped_voters = non_members.into_iter().filter(|member| {
            let node_id = self.nodes.iter().position(|node| node.member == *member);
            node_id.is_some_and(|node_id| node_id < self.voter_count)
        });
        for member in wiped_voters.collect::<Vec<_>>() {
            let promote = true;
            self.change(leader, MembershipChange::Join { member, promote });
        }
    }

    fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.status(leader).unwrap();
        let has_applied_all = |node: &Node| node.applied_index == status.last_index;
        let members = self
            .nodes
            .iter()
            .filter(|node| status.membership.member(&node.member.name) == Some(&node.member));
        self.missing_voter_count() == 0 && members.into_iter().all(has_applied_all)
    }

    fn deliver_and_sync_all(&mut self) {
        for envelope in std::mem::take(&mut self.in_flight_messages) {
            self.deliver(envelope);
        }
        for node_id in 0..self.nodes.len() {
            self.sync(node_id, self.nodes[node_id].disk.unsynced_write_count());
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = self
            .nodes
            .iter()
            .position(|node| node.member.name == envelope.to);
        self.handle(to.unwrap(), Input::Message(envelope));
    }

    fn next_request(&mut self) -> ReplicaRequestId {
        self.last_request_id += 1;
        ReplicaRequestId(self.last_request_id)
    }

    fn execute(&mut self, node_id: usize, output: Output) {
        match output {
            Output::Appended { .. }
            | Output::LeadershipTransferStarted { .. }
            | Output::Rejected { .. } => {}
            Output::Apply(entries) => {
                for entry in entries {
                    self.apply(node_id, &entry);
                }
            }
            Output::ReadIndex { index, request } => self.on_read_index_confirmed(index, request),
            Output::Persist(write) => self.nodes[node_id].disk.write(write),
            Output::Restore(snapshot) => {
                let node = &mut self.nodes[node_id];
                node.applied_index = snapshot.index;
                node.state.clone_from(&snapshot.data);
                assert_eq!(node.state, self.checker.state(snapshot.index));
            }
            Output::Send(envelope) => self.send(node_id, envelope),
        }
    }

    fn apply(&mut self, node_id: usize, entry: &agreement::Entry) {
        self.checker.check_applied(entry);
        let node = &mut self.nodes[node_id];
        assert_eq!(
            entry.index.0,
            node.applied_index.0 + 1,
            "entries are applied in order"
        );
        node.applied_index = entry.index;
        if let agreement::Payload::Command(command) = &entry.payload {
            node.state.extend_from_slice(command);
        }
    }

    fn on_read_index_confirmed(&mut self, index: LogIndex, request: ReplicaRequestId) {
        let position = self
            .pending_reads
            .iter()
            .position(|read| read.request == request);
        let read = self
            .pending_reads
            .swap_remove(position.expect("a read is confirmed once"));
        assert!(
            index >= read.committed,
            "read index {index} is before index {}, which was committed before the request",
            read.committed
        );
        self.reads_confirmed += 1;
    }

    fn send(&mut self, sender_id: usize, envelope: Envelope) {
        let to = self
            .nodes
            .iter()
            .position(|node| node.member.name == envelope.to);
        let is_blocked = self.blocked_links.contains(&(sender_id, to.unwrap()));
        let is_lost = self.random.random_range(0..100) < self.loss_percent;
        if is_blocked || is_lost {
            return;
        }
        if self.random.random_range(0..100) < self.loss_percent {
            self.in_flight_messages.push(envelope.clone());
        }
        self.in_flight_messages.push(envelope);
    }

    fn check_leader_of_node(&mut self, node_id: usize) {
        let Some(status) = self.status(node_id) else {
            return;
        };
        if status.role == ReplicaRole::Leader {
            let (snapshot_index, log) = self.nodes[node_id].disk.snapshot_index_and_entries();
            self.checker
                .check_leader(status.term, &status.member.name, snapshot_index, &log);
        }
    }
}
