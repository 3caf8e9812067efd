//! The leader replaces lost voters without an operator: a successor joins, then a silent voter is
//! removed.

use control::MembershipChangeRequest;
use names::InstanceName;
use registry::{GroupMembers, next_voter_change};

const VOTERS_WANTED: usize = 5;
const SILENT_AFTER_MS: u64 = 1_000;

fn name(name: &str) -> InstanceName {
    InstanceName::new(name).unwrap()
}

fn members(voters: &[(&str, u64)], non_members: &[&str]) -> GroupMembers {
    GroupMembers {
        is_committed: true,
        non_members: non_members.iter().map(|other| name(other)).collect(),
        voters: voters
            .iter()
            .map(|voter| (name(voter.0), voter.1))
            .collect(),
    }
}

fn change(members: &GroupMembers) -> Option<MembershipChangeRequest> {
    next_voter_change(members, VOTERS_WANTED, SILENT_AFTER_MS)
}

#[test]
fn a_non_member_that_contacts_the_group_joins() {
    let members = members(&[("a", 0), ("b", 5), ("c", 5)], &["d"]);
    let joined = change(&members);
    assert!(
        matches!(joined, Some(MembershipChangeRequest::Join { name, promote: true }) if name.as_str() == "d")
    );
}

#[test]
fn a_silent_voter_is_kept_until_its_successor_votes() {
    let voters = [("a", 0), ("b", 5), ("c", 5), ("d", 5), ("e", 9_000)];
    assert!(change(&members(&voters, &[])).is_none());
    assert!(matches!(
        change(&members(&voters, &["f"])),
        Some(MembershipChangeRequest::Join { .. })
    ));
}

#[test]
fn of_too_many_voters_the_longest_silent_one_is_removed() {
    let voters = [
        ("a", 0),
        ("b", 2_000),
        ("c", 5),
        ("d", 5),
        ("e", 9_000),
        ("f", 5),
    ];
    let removed = change(&members(&voters, &[]));
    assert!(matches!(removed, Some(MembershipChangeRequest::Remove(name)) if name.as_str() == "e"));
}

#[test]
fn live_voters_are_kept_even_if_there_are_too_many() {
    let voters = [("a", 0), ("b", 5), ("c", 5), ("d", 5), ("e", 5), ("f", 900)];
    assert!(change(&members(&voters, &[])).is_none());
}

#[test]
fn no_change_is_due_until_the_previous_one_is_committed() {
    let mut uncommitted = members(&[("a", 0), ("b", 5), ("c", 5)], &["d"]);
    uncommitted.is_committed = false;
    assert!(change(&uncommitted).is_none());
}

#[test]
fn a_voter_with_a_wiped_disk_needs_no_membership_change() {
    assert!(change(&members(&[("a", 0), ("b", 5), ("c", 90)], &["c"])).is_none());
}
