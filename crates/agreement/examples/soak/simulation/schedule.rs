use agreement::{Input, MembershipChange, RoleName};
use rand::RngExt;

use super::{Simulation, Summary, name};

/// Runs a seed with faults of every kind, then without faults, and checks what was promised.
pub fn run(seed: u64, voters: usize, steps: u64) -> Summary {
    let mut simulation = Simulation::new(seed, voters);
    let mut wiped = 0;
    simulation.settle();
    for step in 0..steps {
        simulation.step();
        if simulation.random.random_range(0..150) == 0 && simulation.wipe_one() {
            wiped += 1;
        }
        if step % 5_000 == 4_999 {
            simulation.absent_follower();
        }
        if step % 500 == 0 {
            simulation.check_logs();
        }
    }
    simulation.settle();
    simulation.check_logs();
    let last = simulation.checker.last();
    let content = simulation.checker.content(last);
    let leader = simulation.leader().expect("settled");
    assert_eq!(simulation.nodes[leader].content, content);
    Summary {
        committed: simulation.checker.committed().len(),
        leaders: simulation.checker.leaders(),
        reads_confirmed: simulation.reads_confirmed,
        wiped,
    }
}

impl Simulation {
    /// A follower misses more than its window and the retained log under one lasting leader.
    fn absent_follower(&mut self) {
        self.settle();
        let leader = self.leader().expect("settled");
        let follower = (leader + 1) % self.voters;
        if follower == leader {
            return;
        }
        self.crash(follower);
        for _ in 0..40 {
            self.propose(leader, 1);
            self.exchange();
            self.pass_time(10);
        }
        self.compact(leader);
        self.start(follower);
        self.settle();
    }

    fn step(&mut self) {
        let at = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..1_000) {
            0..450 => {
                for _ in 0..self.random.random_range(1..12) {
                    self.deliver_any();
                }
            }
            450..600 => {
                let elapsed_ms = self.random.random_range(1..30);
                self.pass_time(elapsed_ms);
            }
            600..800 => {
                let count = self.random.random_range(0..=self.nodes[at].disk.unsynced());
                self.sync(at, count);
            }
            800..890 => {
                let count = self.random.random_range(1..5);
                let to = self.leader().unwrap_or(at);
                self.propose(to, count);
            }
            890..925 => self.confirm_everywhere(),
            925..935 => self.compact(at),
            935..941 => self.crash(at),
            941..975 => self.restart(at),
            975..981 => self.repartition(),
            981..983 => self.jump_clock(at),
            983..985 => self.hand_over(at),
            985..995 => self.repair(),
            995..998 => self.change_spare(),
            _ => self.loss_percent = self.random.random_range(0..12),
        }
    }

    fn deliver_any(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let in_order = self.random.random_range(0..4) > 0;
        let at = if in_order {
            0
        } else {
            self.random.random_range(0..self.network.len())
        };
        let envelope = self.network.remove(at);
        self.deliver(envelope);
    }

    fn restart(&mut self, at: usize) {
        if self.nodes[at].replica.is_none() {
            self.start(at);
        }
    }

    /// Cuts one direction, cuts a node off, or heals.
    fn repartition(&mut self) {
        let at = self.random.random_range(0..self.nodes.len());
        let other = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..5) {
            4 => self.replace_leader(),
            0 => self.blocked.push((at, other)),
            1 => {
                for peer in 0..self.nodes.len() {
                    self.blocked.extend([(at, peer), (peer, at)]);
                }
            }
            _ => self.blocked.clear(),
        }
    }

    /// Cuts the leader off and lets the others notice before it does.
    fn replace_leader(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for peer in 0..self.nodes.len() {
            if peer != leader {
                self.blocked.extend([(leader, peer), (peer, leader)]);
                self.nodes[peer].skew_ms += 400;
            }
        }
    }

    /// Asks every node that believes to lead for proof of it.
    fn confirm_everywhere(&mut self) {
        for at in 0..self.nodes.len() {
            if self
                .status(at)
                .is_some_and(|status| status.role == RoleName::Leader)
            {
                self.confirm(at);
            }
        }
    }

    fn jump_clock(&mut self, at: usize) {
        self.nodes[at].skew_ms = self.random.random_range(0..2_000);
    }

    fn hand_over(&mut self, to: usize) {
        let request = self.next_request();
        if let Some(leader) = self.leader() {
            let to = name(to);
            self.handle(leader, Input::HandOver { request, to });
        }
    }

    /// Adds, promotes or removes the spare instance.
    fn change_spare(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let spare = self.nodes[self.voters].member.clone();
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

    /// Wipes a voter, unless one is still to be repaired or the group could not bear it.
    fn wipe_one(&mut self) -> bool {
        if self.voters < 3 || self.lost_voters() > 0 {
            return false;
        }
        let at = self.random.random_range(0..self.voters);
        self.wipe(at);
        true
    }
}
