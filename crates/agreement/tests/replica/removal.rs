use agreement::{
    AppendAnswer, AppendResult, Entry, HardState, Membership, MembershipChange, Message, Payload,
    Recovered, Refusal, RoleName, VoteAnswer, VoteRequest,
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
    assert!(driver.status().non_members.is_empty());
    driver.receive(&member(3, 3), request, 1);
    assert_eq!(driver.status().non_members, [member(3, 3)]);
    assert_eq!(driver.status().role, RoleName::Leader);
}

#[test]
fn a_membership_change_waits_for_the_term_and_for_the_change_before() {
    let mut driver = Driver::leader();
    let join = |number: u8| MembershipChange::Join {
        member: member(number, u128::from(number)),
        promote: false,
    };
    driver.change(join(3));
    assert_eq!(driver.refused(), [Refusal::ChangePending]);
    let acknowledge = |driver: &mut Driver| {
        let result = AppendResult::Matched {
            matched: driver.status().last_index,
        };
        let answer = Message::AppendAnswer(AppendAnswer { result, round: 0 });
        driver.receive(&member(1, 1), answer, 0);
    };
    acknowledge(&mut driver);
    driver.change(join(3));
    driver.change(join(4));
    assert_eq!(driver.refused().len(), 2);
    acknowledge(&mut driver);
    driver.change(join(4));
    assert_eq!(driver.refused().len(), 2);
    assert_eq!(driver.status().membership.learners().len(), 2);
}

#[test]
fn a_learner_is_promoted_only_once_it_holds_everything_committed() {
    let mut driver = Driver::leader();
    let acknowledge = |driver: &mut Driver, number: u8, matched: LogIndex| {
        let result = AppendResult::Matched { matched };
        let answer = Message::AppendAnswer(AppendAnswer { result, round: 0 });
        driver.receive(&member(number, u128::from(number)), answer, 0);
    };
    let last = driver.status().last_index;
    acknowledge(&mut driver, 1, last);
    driver.change(MembershipChange::Join {
        member: member(3, 3),
        promote: true,
    });
    let last = driver.status().last_index;
    acknowledge(&mut driver, 1, last);
    assert_eq!(driver.status().commit, last);
    acknowledge(&mut driver, 3, LogIndex(last.0 - 1));
    assert!(!driver.status().membership.is_voter(&member(3, 3)));
    acknowledge(&mut driver, 3, last);
    assert!(driver.status().membership.is_voter(&member(3, 3)));
}
