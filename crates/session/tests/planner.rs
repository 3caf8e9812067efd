//! Assignment of shards to owners.

mod support;

use names::{Epoch, LogIndex};
use session::{
    AssignmentAges, Assignments, CONFIGURATION_LEASE_MS, MemberState, Predecessor, Roster,
    plan_reassignments, plan_unassigned,
};
use support::{instance, member, restarted_member, shard};

const INSTANCES: usize = 9;

fn roster() -> Roster {
    let mut roster = Roster::new(1);
    (0..INSTANCES).for_each(|number| roster.insert(&member(number)));
    roster
}

fn assign_shards(roster: &Roster, shards: u16) -> Assignments {
    let mut assignments = Assignments::default();
    let wanted: Vec<_> = (0..shards).map(shard).collect();
    for command in plan_unassigned(roster, &assignments, &wanted) {
        let index = LogIndex(assignments.applied_index().0 + 1);
        assert!(assignments.apply(index, &command));
    }
    assignments
}

#[test]
fn only_the_shards_of_a_removed_instance_are_reassigned() {
    let mut roster = roster();
    let assignments = assign_shards(&roster, 500);
    roster.remove(&instance(3));
    let reassignments = plan_reassignments(&roster, &assignments, Epoch(0));
    let lost = assignments.iter().filter(|a| a.owner == instance(3));
    assert_eq!(reassignments.len(), lost.count());
    assert!(reassignments.len() < 2 * 500 / INSTANCES);
}

#[test]
fn the_next_owner_waits_for_a_previous_owner_that_may_still_act() {
    let mut roster = roster();
    let assignments = assign_shards(&roster, 1);
    let owner = assignments
        .get(&shard(0))
        .expect("it has an owner")
        .owner
        .clone();
    let restarted = restarted_member(roster.get(&owner).expect("it is listed"), 2, 2);
    roster.insert(&restarted);
    let reassignments = plan_reassignments(&roster, &assignments, Epoch(0));
    assert_eq!(reassignments[0].predecessor, Predecessor::Live);
    // A relay cut off from the leader may have renewed the lease of a removed instance.
    roster.remove(&owner);
    let reassignments = plan_reassignments(&roster, &assignments, Epoch(0));
    assert_eq!(reassignments[0].predecessor, Predecessor::Live);
}

#[test]
fn the_next_owner_does_not_wait_for_a_draining_owner() {
    let mut roster = roster();
    let assignments = assign_shards(&roster, 1);
    let owner = assignments
        .get(&shard(0))
        .expect("it has an owner")
        .owner
        .clone();
    let mut draining = roster.get(&owner).expect("it is listed").clone();
    draining.state = MemberState::Draining;
    roster.insert(&draining);
    let reassignments = plan_reassignments(&roster, &assignments, Epoch(0));
    assert_eq!(reassignments[0].predecessor, Predecessor::Lapsed);
    assert_eq!(reassignments[0].expected_epoch, Epoch(1));
    assert_ne!(reassignments[0].owner, owner);
}

#[test]
fn an_unfinished_wait_passes_on_when_the_next_owner_drains() {
    let mut roster = roster();
    let mut assignments = assign_shards(&roster, 1);
    let lost = assignments.get(&shard(0)).expect("it has an owner");
    roster.remove(&lost.owner.clone());
    for command in plan_reassignments(&roster, &assignments, Epoch(0)) {
        assert!(assignments.apply(LogIndex(2), &command));
    }
    let next = assignments.get(&shard(0)).expect("it has an owner");
    let mut draining = roster.get(&next.owner).expect("it is listed").clone();
    draining.state = MemberState::Draining;
    roster.insert(&draining);
    let predecessor =
        |aged_epoch| plan_reassignments(&roster, &assignments, aged_epoch)[0].predecessor;
    assert_eq!(predecessor(Epoch(1)), Predecessor::Live);
    assert_eq!(predecessor(Epoch(2)), Predecessor::Lapsed);
}

#[test]
fn an_assignment_is_aged_one_lease_after_it_was_observed() {
    let mut ages = AssignmentAges::default();
    ages.observe(1_000, LogIndex(4));
    ages.observe(2_000, LogIndex(7));
    ages.observe(1_000 + CONFIGURATION_LEASE_MS, LogIndex(7));
    assert_eq!(ages.aged_epoch(), Epoch(4));
    ages.observe(2_000 + CONFIGURATION_LEASE_MS, LogIndex(7));
    assert_eq!(ages.aged_epoch(), Epoch(7));
}
