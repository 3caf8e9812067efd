use agreement::{Input, MembershipChange, ReplicaRole};
use rand::RngExt;

use super::{Simulation, Summary, instance_name};

/// Runs a simulation with random faults, then without faults, and checks Raft's safety properties.
pub fn run_schedule(seed: u64, voter_count: usize, steps: u64) -> Summary {
    let mut simulation = Simulation::new(seed, voter_count);
    let mut wiped = 0;
    simulation.run_until_settled();
    for step in 0..steps {
        simulation.step();
        if simulation.random.random_range(0..150) == 0 && simulation.wipe_voter() {
            wiped += 1;
        }
        if step % 5_000 == 4_999 {
            simulation.leave_follower_behind();
        }
        if step % 500 == 0 {
            simulation.check_logs();
        }
    }
    simulation.run_until_settled();
    simulation.check_logs();
    let last = simulation.checker.last_index();
    let state = simulation.checker.state(last);
    let leader = simulation.leader().expect("a settled group has a leader");
    assert_eq!(simulation.nodes[leader].state, state);
    Summary {
        committed: simulation.checker.committed().len(),
        leaders: simulation.checker.leader_count(),
        reads_confirmed: simulation.reads_confirmed,
        wiped,
    }
}

impl Simulation {
    /// Restarts a follower that lags by more than its window and the retained log; the leader
    /// stays the same.
    fn leave_follower_behind(&mut self) {
        self.run_until_settled();
        let leader = self.leader().expect("a settled group has a leader");
        let follower = (leader + 1) % self.voter_count;
        if follower == leader {
            return;
        }
        self.crash(follower);
        for _ in 0..40 {
            self.propose(leader, 1);
            self.deliver_and_sync_all();
            self.advance_time(10);
        }
        self.compact(leader);
        self.start(follower);
        self.run_until_settled();
    }

    fn step(&mut self) {
        let node_id = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..1_000) {
            0..450 => {
                for _ in 0..self.random.random_range(1..12) {
                    self.deliver_one();
                }
            }
            450..600 => {
                let elapsed_ms = self.random.random_range(1..30);
                self.advance_time(elapsed_ms);
            }
            600..800 => {
                let count = self
                    .random
                    .random_range(0..=self.nodes[node_id].disk.unsynced_write_count());
                self.sync(node_id, count);
            }
            800..890 => {
                let count = self.random.random_range(1..5);
                let to = self.leader().unwrap_or(node_id);
                self.propose(to, count);
            }
            890..925 => self.request_read_index_of_leaders(),
            925..935 => self.compact(node_id),
            935..941 => self.crash(node_id),
            941..975 => self.restart(node_id),
            975..981 => self.change_partition(),
            981..983 => self.jump_clock(node_id),
            983..985 => self.transfer_leadership(node_id),
            985..995 => self.rejoin_wiped_voters(),
            995..998 => self.change_spare_member(),
            _ => self.loss_percent = self.random.random_range(0..12),
        }
    }

    fn deliver_one(&mut self) {
        if self.in_flight_messages.is_empty() {
            return;
        }
        let is_in_order = self.random.random_range(0..4) > 0;
        let position = if is_in_order {
            0
        } else {
            self.random.random_range(0..self.in_flight_messages.len())
        };
        let envelope = self.in_flight_messages.remove(position);
        self.deliver(envelope);
    }

    fn restart(&mut self, node_id: usize) {
        if self.nodes[node_id].replica.is_none() {
            self.start(node_id);
        }
    }

    /// Isolates the leader or a node, blocks one direction of a link, or removes all partitions.
    fn change_partition(&mut self) {
        let node_id = self.random.random_range(0..self.nodes.len());
        let other_id = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..5) {
            4 => self.isolate_leader(),
            0 => self.blocked_links.push((node_id, other_id)),
            1 => {
                for peer_id in 0..self.nodes.len() {
                    self.blocked_links
                        .extend([(node_id, peer_id), (peer_id, node_id)]);
                }
            }
            _ => self.blocked_links.clear(),
        }
    }

    /// Isolates the leader, and advances the other clocks so that the others notice it first.
    fn isolate_leader(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for peer_id in 0..self.nodes.len() {
            if peer_id != leader {
                self.blocked_links
                    .extend([(leader, peer_id), (peer_id, leader)]);
                self.nodes[peer_id].skew_ms += 400;
            }
        }
    }

    /// Requests a read index of every node in the role of a leader.
    fn request_read_index_of_leaders(&mut self) {
        for node_id in 0..self.nodes.len() {
            if self
                .status(node_id)
                .is_some_and(|status| status.role == ReplicaRole::Leader)
            {
                self.request_read_index(node_id);
            }
        }
    }

    fn jump_clock(&mut self, node_id: usize) {
        self.nodes[node_id].skew_ms = self.random.random_range(0..2_000);
    }

    fn transfer_leadership(&mut self, to: usize) {
        let request = self.next_request();
        if let Some(leader) = self.leader() {
            let to = instance_name(to);
            self.handle(leader, Input::TransferLeadership { request, to });
        }
    }

    /// Adds the spare instance as a learner, promotes it or removes it.
    fn change_spare_member(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let spare = self.nodes[self.voter_count].member.clone();
        let change = match self.random.random_range(0..3) {
            0 => MembershipChange::Join {
                member: spare,
                promote: false,
            },
            1 => MembershipChange::Promote(spare.name),
            _ => MembershipChange::Remove(spare.name),
        };
        self.change(leader, change);
    }

    /// Wipes a voter, unless the group is too small or another voter has not rejoined yet.
    fn wipe_voter(&mut self) -> bool {
        if self.voter_count < 3 || self.missing_voter_count() > 0 {
            return false;
        }
        let node_id = self.random.random_range(0..self.voter_count);
        self.wipe(node_id);
        true
    }
}
