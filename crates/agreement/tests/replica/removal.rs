use agreement::{
    Entry, HardState, Membership, MembershipChange, Message, Payload, Recovered, RoleName,
    VoteAnswer, VoteRequest,
};
use names::LogIndex;

use super::driver::{Driver, FOUNDED_TERM, member};

fn membership_entry(index: u64, membership: Membership) -> Entry {
    Entry {
        at_ms: 0,
        index: LogIndex(index),
        payload: Payload::Membership(membership),
        term: FOUNDED_TERM,
    }
}

/// Its log ends with its own removal, which is not known to be committed.
fn removed_voter() -> Driver {
    let before = Driver::voter().status().membership;
    let removal = MembershipChange::Remove(member(0, 0).name);
    let after = before.changed(&removal).unwrap();
    Driver::open(Recovered {
        entries: vec![membership_entry(1, before), membership_entry(2, after)],
        hard_state: HardState {
            term: FOUNDED_TERM,
            vote: None,
        },
        snapshot: None,
    })
}

#[test]
fn a_voter_whose_removal_is_not_committed_still_stands_for_election() {
    let mut driver = removed_voter();
    driver.pass_time(3_000);
    assert_eq!(driver.status().role, RoleName::Candidate);
    for (pre_vote, ahead) in [(true, 1), (false, 0)] {
        for voter in [member(1, 1), member(2, 2)] {
            assert_ne!(driver.status().role, RoleName::Leader);
            let answer = VoteAnswer {
                granted: true,
                pre_vote,
            };
            driver.receive(&voter, Message::VoteAnswer(answer), ahead);
        }
    }
    assert_eq!(driver.status().role, RoleName::Leader);
}

#[test]
fn a_removed_voter_that_stands_for_election_is_shown_to_operators() {
    let mut driver = Driver::leader();
    let request = Message::VoteRequest(VoteRequest {
        forced: false,
        last_index: LogIndex(1),
        last_term: FOUNDED_TERM,
        pre_vote: true,
    });
    driver.receive(&member(1, 1), request.clone(), 1);
    assert!(driver.status().introduced.is_empty());
    driver.receive(&member(3, 3), request, 1);
    assert_eq!(driver.status().introduced, [member(3, 3)]);
    assert_eq!(driver.status().role, RoleName::Leader);
}
