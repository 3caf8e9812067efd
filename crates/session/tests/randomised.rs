//! Long randomised runs of whole fleets under faults.

mod support;

use rand::RngExt;
use session::MemberState;
use support::fleet::{Fleet, Layout};
use support::shard;

const FAULTS: usize = 60;
const INSTANCES: usize = 10;
const SEEDS: u64 = 20;
const SHARDS: u16 = 8;

/// Wall clock of the first runs, in milliseconds.
const WALL_MS: u64 = 10_000_000;

fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&Layout {
        data_centres: 3,
        instances: INSTANCES,
        loss_percent: seed % 6,
        seed,
        voters: 3,
    });
    fleet.slow_percent = 1;
    for place in 0..INSTANCES {
        fleet.restart(place, WALL_MS);
    }
    fleet.nodes[INSTANCES - 1].want(&(0..SHARDS).map(shard).collect::<Vec<_>>());
    fleet
}

fn cut_off(fleet: &mut Fleet, place: usize) {
    let direction = fleet.random.random_range(0..3);
    for other in 0..fleet.nodes.len() {
        if direction != 1 {
            fleet.cut.push((place, other));
        }
        if direction != 0 {
            fleet.cut.push((other, place));
        }
    }
}

fn cut_link(fleet: &mut Fleet, place: usize) {
    let other = fleet.random.random_range(0..fleet.nodes.len());
    fleet.cut.push((place, other));
    if fleet.random.random() {
        fleet.cut.push((other, place));
    }
}

/// Starts a run whose wall clock may have jumped back.
fn restart(fleet: &mut Fleet, place: usize) {
    let jump_ms = fleet.random.random_range(0..20_000);
    fleet.restart(place, WALL_MS + fleet.now_ms - jump_ms.min(WALL_MS));
}

fn cause_fault(fleet: &mut Fleet) {
    let place = fleet.random.random_range(0..fleet.nodes.len());
    match fleet.random.random_range(0..20) {
        0..=2 => cut_off(fleet, place),
        3..=4 => cut_link(fleet, place),
        5..=8 => fleet.cut.clear(),
        9..=10 => {
            let stall_ms = fleet.random.random_range(300..8_000);
            fleet.nodes[place].stalled_until_ms = fleet.now_ms + stall_ms;
        }
        11 => fleet.nodes[place].alive = false,
        12..=13 => restart(fleet, place),
        14 => fleet.nodes[place].member.state = MemberState::Draining,
        15 if fleet.nodes.len() < INSTANCES + 2 => {
            let now_ms = fleet.now_ms;
            fleet.start_twin(place, WALL_MS + now_ms);
        }
        _ => fleet.edit(None),
    }
}

/// Ends all faults and gives the fleet time to settle.
fn heal(fleet: &mut Fleet) {
    fleet.cut.clear();
    fleet.loss_percent = 0;
    fleet.slow_percent = 0;
    for place in INSTANCES..fleet.nodes.len() {
        fleet.nodes[place].alive = false;
    }
    for place in 0..INSTANCES {
        let node = &fleet.nodes[place];
        if !node.alive || node.member.state == MemberState::Draining {
            fleet.restart(place, WALL_MS + fleet.now_ms);
        }
    }
    fleet.run_until(fleet.now_ms + 40_000);
    fleet.edit(None);
    fleet.run_until(fleet.now_ms + 4_000);
}

fn run(seed: u64) -> Fleet {
    let mut fleet = fleet(seed);
    fleet.run_until(6_000);
    for _ in 0..FAULTS {
        cause_fault(&mut fleet);
        let wait_ms = fleet.random.random_range(0..1_500);
        fleet.run_until(fleet.now_ms + wait_ms);
        fleet.edit(None);
    }
    heal(&mut fleet);
    fleet
}

fn check(seed: u64) {
    let fleet = run(seed);
    let now_ms = fleet.now_ms;
    for node in &fleet.nodes[..INSTANCES] {
        let name = &node.member.name;
        assert!(node.admits(now_ms), "seed {seed}: {name} has no lease");
        assert_eq!(node.table(), fleet.committed.table, "seed {seed}: {name}");
    }
    assert_eq!(fleet.in_force.0, fleet.committed.table, "seed {seed}");
    for number in 0..SHARDS {
        let owners = fleet.owners(&shard(number));
        assert_eq!(owners.len(), 1, "seed {seed}: shard {number}");
    }
}

#[test]
fn no_fault_gives_a_shard_two_owners_or_an_instance_an_old_revision() {
    (0..SEEDS).for_each(check);
}

#[test]
fn a_chain_of_owners_waits_for_the_first() {
    check(89);
}

#[test]
fn voters_without_a_lease_do_not_call_each_other_superseded() {
    check(381);
}
