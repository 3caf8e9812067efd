//! Decides which shards need another owner.
//!
//! Assignments are sticky: a shard moves only when its owner is gone, restarted or draining. A
//! shard whose region has no live dispatch instance goes to an instance of another region.
//!
//! An owner that is gone or restarted may still act: a relay that the leader cannot hear may have
//! renewed its lease. Whoever renews a lease from a request sent after the move was committed sees
//! the move, so the next owner waits for one lease. Only an owner that drains needs no wait, unless
//! it still had to wait for the owner before it.

use names::{Epoch, InstanceName};

use crate::{
    AssignCommand, Assignment, Assignments, Member, MemberState, Predecessor, Roster, Shard,
    rendezvous_order,
};

/// Commands that give every wanted shard without an owner a live one.
#[must_use]
pub fn plan_unassigned(
    roster: &Roster,
    assignments: &Assignments,
    wanted: &[Shard],
) -> Vec<AssignCommand> {
    wanted
        .iter()
        .filter(|shard| assignments.get(shard).is_none())
        .filter_map(|shard| assign(roster, shard, None, Predecessor::None))
        .collect()
}

/// Commands that move every shard whose owner is gone, restarted or draining.
///
/// The roster must be complete; assignments up to the epoch `aged` are older than one lease.
#[must_use]
pub fn plan_reassignments(
    roster: &Roster,
    assignments: &Assignments,
    aged: Epoch,
) -> Vec<AssignCommand> {
    assignments
        .iter()
        .filter(|assignment| !owner_serves(roster, assignment))
        .filter_map(|assignment| {
            let predecessor = predecessor(roster, assignment, aged);
            assign(roster, &assignment.shard, Some(assignment), predecessor)
        })
        .collect()
}

fn assign(
    roster: &Roster,
    shard: &Shard,
    current: Option<&Assignment>,
    predecessor: Predecessor,
) -> Option<AssignCommand> {
    let owner = roster.get(&choose(roster, shard)?)?;
    Some(AssignCommand {
        expected_epoch: current.map_or(Epoch(0), |assignment| assignment.epoch),
        incarnation: owner.incarnation,
        owner: owner.name.clone(),
        predecessor,
        shard: shard.clone(),
    })
}

fn choose(roster: &Roster, shard: &Shard) -> Option<InstanceName> {
    let key = shard.to_string();
    let serving = || roster.members().filter(|member| member.can_own_shards());
    let home = serving().filter(|member| member.region == shard.region);
    let order = rendezvous_order(&key, home);
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

fn owner_serves(roster: &Roster, assignment: &Assignment) -> bool {
    owner(roster, assignment).is_some_and(Member::can_own_shards)
}

fn predecessor(roster: &Roster, current: &Assignment, aged: Epoch) -> Predecessor {
    // An instance that says that it drains has stopped granting.
    let drains = |member: &Member| member.state == MemberState::Draining;
    let waited = current.epoch <= aged || current.predecessor != Predecessor::Live;
    if waited && owner(roster, current).is_some_and(drains) {
        Predecessor::Lapsed
    } else {
        Predecessor::Live
    }
}
