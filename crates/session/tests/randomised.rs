//! Long randomised simulations of whole fleets under faults.

mod support;

use rand::RngExt;
use session::MemberState;
use support::fleet::{Fleet, Layout};
use support::shard;

const FAULTS: usize = 60;
const INSTANCES: usize = 10;
const SEEDS: u64 = 20;
const SHARDS: u16 = 8;

/// Wall clock at the first start of each instance.
const WALL_MS: u64 = 10_000_000;

fn faulty_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&Layout {
        data_centres: 3,
        instances: INSTANCES,
        loss_percent: seed % 6,
        seed,
        voters: 3,
    });
    fleet.slow_percent = 1;
    for node_index in 0..INSTANCES {
        fleet.restart(node_index, WALL_MS);
    }
    fleet.nodes[INSTANCES - 1].request_owners(&(0..SHARDS).map(shard).collect::<Vec<_>>());
    fleet
}

fn cut_off_node(fleet: &mut Fleet, node_index: usize) {
    let direction = fleet.random.random_range(0..3);
    for other in 0..fleet.nodes.len() {
        if direction != 1 {
            fleet.cut_links.push((node_index, other));
        }
        if direction != 0 {
            fleet.cut_links.push((other, node_index));
        }
    }
}

fn cut_link(fleet: &mut Fleet, node_index: usize) {
    let other = fleet.random.random_range(0..fleet.nodes.len());
    fleet.cut_links.push((node_index, other));
    if fleet.random.random() {
        fleet.cut_links.push((other, node_index));
    }
}

/// Restarts an instance; its wall clock may have jumped back.
fn restart(fleet: &mut Fleet, node_index: usize) {
    let jump_ms = fleet.random.random_range(0..20_000);
    fleet.restart(node_index, WALL_MS + fleet.now_ms - jump_ms.min(WALL_MS));
}

fn inject_fault(fleet: &mut Fleet) {
    let node_index = fleet.random.random_range(0..fleet.nodes.len());
    match fleet.random.random_range(0..20) {
        0..=2 => cut_off_node(fleet, node_index),
        3..=4 => cut_link(fleet, node_index),
        5..=8 => fleet.cut_links.clear(),
        9..=10 => {
            let stall_ms = fleet.random.random_range(300..8_000);
            fleet.nodes[node_index].stalled_until_ms = fleet.now_ms + stall_ms;
        }
        11 => fleet.nodes[node_index].alive = false,
        12..=13 => restart(fleet, node_index),
        14 => fleet.nodes[node_index].member.state = MemberState::Draining,
        15 if fleet.nodes.len() < INSTANCES + 2 => {
            let now_ms = fleet.now_ms;
            fleet.start_duplicate(node_index, WALL_MS + now_ms);
        }
        _ => fleet.edit(None),
    }
}

/// Ends all faults and lets the fleet converge.
fn end_faults(fleet: &mut Fleet) {
    fleet.cut_links.clear();
    fleet.loss_percent = 0;
    fleet.slow_percent = 0;
    for node_index in INSTANCES..fleet.nodes.len() {
        fleet.nodes[node_index].alive = false;
    }
    for node_index in 0..INSTANCES {
        let node = &fleet.nodes[node_index];
        if !node.alive || node.member.state == MemberState::Draining {
            fleet.restart(node_index, WALL_MS + fleet.now_ms);
        }
    }
    fleet.run_until(fleet.now_ms + 40_000);
    fleet.edit(None);
    fleet.run_until(fleet.now_ms + 4_000);
}

fn run(seed: u64) -> Fleet {
    let mut fleet = faulty_fleet(seed);
    fleet.run_until(6_000);
    for _ in 0..FAULTS {
        inject_fault(&mut fleet);
        let wait_ms = fleet.random.random_range(0..1_500);
        fleet.run_until(fleet.now_ms + wait_ms);
        fleet.edit(None);
    }
    end_faults(&mut fleet);
    fleet
}

fn check(seed: u64) {
    let fleet = run(seed);
    let now_ms = fleet.now_ms;
    for node in &fleet.nodes[..INSTANCES] {
        let name = &node.member.name;
        assert!(node.admits_work(now_ms), "seed {seed}: {name} has no lease");
        assert_eq!(
            node.table_revision(),
            fleet.committed.table_revision,
            "seed {seed}: {name}"
        );
    }
    assert_eq!(
        fleet.in_force_revision.0, fleet.committed.table_revision,
        "seed {seed}"
    );
    for number in 0..SHARDS {
        let acting_owners = fleet.acting_owners(&shard(number));
        assert_eq!(acting_owners.len(), 1, "seed {seed}: shard {number}");
    }
}

#[test]
fn faults_never_cause_two_owners_of_a_shard_or_an_outdated_revision() {
    (0..SEEDS).for_each(check);
}

#[test]
fn successive_owners_wait_for_the_first_one() {
    check(89);
}

#[test]
fn voters_without_a_lease_do_not_supersede_each_other() {
    check(381);
}
