use agreement::{
    AppendResponse, AppendResult, Entry, HardState, Membership, MembershipChange, Message, Payload,
    RecoveredState, RejectReason, ReplicaRole, VoteRequest, VoteResponse,
};
use names::LogIndex;

use super::driver::{BOOTSTRAP_TERM, Driver, member};

fn membership_entry(index: u64, membership: Membership) -> Entry {
    Entry {
        timestamp_ms: 0,
        index: LogIndex(index),
        payload: Payload::Membership(membership),
        term: BOOTSTRAP_TERM,
    }
}

/// Voter whose log ends with its own removal, which is not known to be committed.
fn removed_voter() -> Driver {
    let before = Driver::voter().status().membership;
    let removal = MembershipChange::Remove(member(0, 0).name);
    let after = before.with_change(&removal).unwrap();
    Driver::open(RecoveredState {
        entries: vec![membership_entry(1, before), membership_entry(2, after)],
        hard_state: HardState {
            term: BOOTSTRAP_TERM,
            vote: None,
        },
        snapshot: None,
    })
}

#[test]
fn a_voter_whose_removal_is_not_committed_can_be_elected() {
    let mut driver = removed_voter();
    driver.advance_time(3_000);
    assert_eq!(driver.status().role, ReplicaRole::Candidate);
    for (pre_vote, terms_ahead) in [(true, 1), (false, 0)] {
        for voter in [member(1, 1), member(2, 2)] {
            assert_ne!(driver.status().role, ReplicaRole::Leader);
            let response = VoteResponse {
                granted: true,
                pre_vote,
            };
            driver.receive(&voter, Message::VoteResponse(response), terms_ahead);
        }
    }
    assert_eq!(driver.status().role, ReplicaRole::Leader);
}

#[test]
fn a_removed_voter_that_requests_votes_is_listed_as_non_member() {
    let mut driver = Driver::leader();
    let request = Message::VoteRequest(VoteRequest {
        is_leadership_transfer: false,
        last_index: LogIndex(1),
        last_term: BOOTSTRAP_TERM,
        pre_vote: true,
    });
    driver.receive(&member(1, 1), request.clone(), 1);
    assert!(driver.status().non_members.is_empty());
    driver.receive(&member(3, 3), request, 1);
    assert_eq!(driver.status().non_members, [member(3, 3)]);
    assert_eq!(driver.status().role, ReplicaRole::Leader);
}

#[test]
fn a_membership_change_is_rejected_until_term_and_earlier_change_are_committed() {
    let mut driver = Driver::leader();
    let join = |number: u8| MembershipChange::Join {
        member: member(number, u128::from(number)),
        promote: false,
    };
    driver.change(join(3));
    assert_eq!(driver.rejected(), [RejectReason::ChangeUncommitted]);
    let acknowledge = |driver: &mut Driver| {
        let result = AppendResult::Matched {
            match_index: driver.status().last_index,
        };
        let response = Message::AppendResponse(AppendResponse {
            result,
            confirmation_round: 0,
        });
        driver.receive(&member(1, 1), response, 0);
    };
    acknowledge(&mut driver);
    driver.change(join(3));
    driver.change(join(4));
    assert_eq!(driver.rejected().len(), 2);
    acknowledge(&mut driver);
    driver.change(join(4));
    assert_eq!(driver.rejected().len(), 2);
    assert_eq!(driver.status().membership.learners().len(), 2);
}

#[test]
fn a_learner_is_promoted_only_once_it_holds_every_committed_entry() {
    let mut driver = Driver::leader();
    let acknowledge = |driver: &mut Driver, number: u8, match_index: LogIndex| {
        let result = AppendResult::Matched { match_index };
        let response = Message::AppendResponse(AppendResponse {
            result,
            confirmation_round: 0,
        });
        driver.receive(&member(number, u128::from(number)), response, 0);
    };
    let last = driver.status().last_index;
    acknowledge(&mut driver, 1, last);
    driver.change(MembershipChange::Join {
        member: member(3, 3),
        promote: true,
    });
    let last = driver.status().last_index;
    acknowledge(&mut driver, 1, last);
    assert_eq!(driver.status().commit_index, last);
    acknowledge(&mut driver, 3, LogIndex(last.0 - 1));
    assert!(!driver.status().membership.is_voter(&member(3, 3)));
    acknowledge(&mut driver, 3, last);
    assert!(driver.status().membership.is_voter(&member(3, 3)));
}
