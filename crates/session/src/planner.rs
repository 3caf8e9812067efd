//! Chooses owners for shards.
//!
//! Assignments are sticky: a shard is reassigned only when its owner left, restarted or drains. A
//! shard whose region has no live dispatch instance is assigned to an instance of another region.
//!
//! An owner that left or restarted may still act, because a relay that the leader cannot reach may
//! have renewed its lease. An instance that renews its lease by a request sent after the
//! reassignment was committed learns of it, so the next owner waits for one lease. Only a draining
//! owner needs no wait, unless it still had to wait for its own predecessor.

use names::{Epoch, InstanceName};

use crate::{
    AssignCommand, Assignment, Assignments, Member, MemberState, Predecessor, Roster, Shard,
    rendezvous_order,
};

/// Commands that assign an owner to each wanted shard that has none.
#[must_use]
pub fn plan_unassigned(
    roster: &Roster,
    assignments: &Assignments,
    wanted: &[Shard],
) -> Vec<AssignCommand> {
    wanted
        .iter()
        .filter(|shard| assignments.get(shard).is_none())
        .filter_map(|shard| assign_command(roster, shard, None, Predecessor::None))
        .collect()
}

/// Commands that reassign each shard whose owner left, restarted or drains.
///
/// The roster must be complete. Assignments up to `aged_epoch` are older than one lease.
#[must_use]
pub fn plan_reassignments(
    roster: &Roster,
    assignments: &Assignments,
    aged_epoch: Epoch,
) -> Vec<AssignCommand> {
    assignments
        .iter()
        .filter(|assignment| !has_serving_owner(roster, assignment))
        .filter_map(|assignment| {
            let predecessor = predecessor(roster, assignment, aged_epoch);
            assign_command(roster, &assignment.shard, Some(assignment), predecessor)
        })
        .collect()
}

fn assign_command(
    roster: &Roster,
    shard: &Shard,
    current: Option<&Assignment>,
    predecessor: Predecessor,
) -> Option<AssignCommand> {
    let owner = roster.get(&choose_owner(roster, shard)?)?;
    Some(AssignCommand {
        expected_epoch: current.map_or(Epoch(0), |assignment| assignment.epoch),
        incarnation: owner.incarnation,
        owner: owner.name.clone(),
        predecessor,
        shard: shard.clone(),
    })
}

fn choose_owner(roster: &Roster, shard: &Shard) -> Option<InstanceName> {
    let key = shard.to_string();
    let serving = || roster.members().filter(|member| member.can_own_shards());
    let in_region = serving().filter(|member| member.region == shard.region);
    let order = rendezvous_order(&key, in_region);
    if let Some(&owner) = order.first() {
        return Some(owner.clone());
    }
    rendezvous_order(&key, serving()).first().copied().cloned()
}

fn owner<'a>(roster: &'a Roster, assignment: &Assignment) -> Option<&'a Member> {
    roster
        .get(&assignment.owner)
        .filter(|member| member.incarnation == assignment.incarnation)
}

fn has_serving_owner(roster: &Roster, assignment: &Assignment) -> bool {
    owner(roster, assignment).is_some_and(Member::can_own_shards)
}

fn predecessor(roster: &Roster, current: &Assignment, aged_epoch: Epoch) -> Predecessor {
    // An instance that reports draining has stopped granting permits.
    let is_draining = |member: &Member| member.state == MemberState::Draining;
    let has_waited = current.epoch <= aged_epoch || current.predecessor != Predecessor::Live;
    if has_waited && owner(roster, current).is_some_and(is_draining) {
        Predecessor::Lapsed
    } else {
        Predecessor::Live
    }
}
