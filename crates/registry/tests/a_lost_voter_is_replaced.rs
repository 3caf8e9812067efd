//! The group of voters maintains its size without an operator.

use control::MembershipChangeRequest;
use names::InstanceName;
use registry::{GroupMembers, next_voter_change};

const WANTED: usize = 5;
const SILENT_AFTER_MS: u64 = 1_000;

fn name(name: &str) -> InstanceName {
    InstanceName::new(name).unwrap()
}

fn roll(voters: &[(&str, u64)], introduced: &[&str]) -> GroupMembers {
    GroupMembers {
        introduced: introduced.iter().map(|known| name(known)).collect(),
        is_settled: true,
        voters: voters
            .iter()
            .map(|voter| (name(voter.0), voter.1))
            .collect(),
    }
}

fn change(roll: &GroupMembers) -> Option<MembershipChangeRequest> {
    next_voter_change(roll, WANTED, SILENT_AFTER_MS)
}

#[test]
fn whoever_introduces_itself_joins() {
    let roll = roll(&[("a", 0), ("b", 5), ("c", 5)], &["d"]);
    let joined = change(&roll);
    assert!(
        matches!(joined, Some(MembershipChangeRequest::Join { name, promote: true }) if name.as_str() == "d")
    );
}

#[test]
fn a_silent_voter_stays_until_its_successor_votes() {
    let voters = [("a", 0), ("b", 5), ("c", 5), ("d", 5), ("e", 9_000)];
    assert!(change(&roll(&voters, &[])).is_none());
    assert!(matches!(
        change(&roll(&voters, &["f"])),
        Some(MembershipChangeRequest::Join { .. })
    ));
}

#[test]
fn the_longest_silent_of_too_many_voters_is_removed() {
    let voters = [
        ("a", 0),
        ("b", 2_000),
        ("c", 5),
        ("d", 5),
        ("e", 9_000),
        ("f", 5),
    ];
    let removed = change(&roll(&voters, &[]));
    assert!(matches!(removed, Some(MembershipChangeRequest::Remove(name)) if name.as_str() == "e"));
}

#[test]
fn too_many_live_voters_are_all_kept() {
    let voters = [("a", 0), ("b", 5), ("c", 5), ("d", 5), ("e", 5), ("f", 900)];
    assert!(change(&roll(&voters, &[])).is_none());
}

#[test]
fn one_change_follows_the_other() {
    let mut unsettled = roll(&[("a", 0), ("b", 5), ("c", 5)], &["d"]);
    unsettled.is_settled = false;
    assert!(change(&unsettled).is_none());
}

#[test]
fn a_voter_with_a_blank_disk_is_left_to_its_own_rejoining() {
    assert!(change(&roll(&[("a", 0), ("b", 5), ("c", 90)], &["c"])).is_none());
}
