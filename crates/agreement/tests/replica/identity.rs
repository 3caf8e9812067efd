//! Votes and acknowledgements count only for the storage identity in the membership; bootstrap.

use super::driver::{BOOTSTRAP_TERM, Driver, member};
use agreement::{
    AppendResponse, AppendResult, BootstrapState, Envelope, Hello, Message, ReplicaRole,
    VoteResponse,
};
use names::LogIndex;

fn granted(pre_vote: bool) -> Message {
    Message::VoteResponse(VoteResponse {
        granted: true,
        pre_vote,
    })
}

fn hello(bootstrap_state: BootstrapState) -> Message {
    Message::Hello(Hello {
        initial_voters: (0..3).map(|number| member(number, 0).name).collect(),
        bootstrap_state,
    })
}

#[test]
fn a_vote_from_another_storage_of_a_voter_does_not_count() {
    let mut driver = Driver::voter();
    driver.advance_time(3_000);
    driver.receive(&member(1, 99), granted(true), 1);
    assert_eq!(driver.status().term, BOOTSTRAP_TERM);
    driver.receive(&member(1, 1), granted(true), 1);
    assert_eq!(driver.status().term.0, BOOTSTRAP_TERM.0 + 1);
    driver.receive(&member(1, 99), granted(false), 0);
    assert_eq!(driver.status().role, ReplicaRole::Candidate);
    driver.receive(&member(1, 1), granted(false), 0);
    assert_eq!(driver.status().role, ReplicaRole::Leader);
}

#[test]
fn an_acknowledgement_from_another_storage_of_a_voter_does_not_count() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    let response = Message::AppendResponse(AppendResponse {
        result: AppendResult::Matched { match_index: last },
        confirmation_round: 0,
    });
    driver.receive(&member(1, 99), response.clone(), 0);
    assert_eq!(driver.status().commit_index, LogIndex(0));
    driver.receive(&member(1, 1), response, 0);
    assert_eq!(driver.status().commit_index, last);
}

#[test]
fn a_message_for_another_storage_of_this_instance_is_ignored() {
    let mut driver = Driver::voter();
    let before = driver.status().term;
    let envelope = Envelope {
        term: agreement::Term(before.0 + 5),
        to_storage: Some(agreement::StorageId(77)),
        ..driver.envelope(&member(1, 1), Message::TimeoutNow, 0)
    };
    driver.receive_envelope(envelope);
    assert_eq!(driver.status().term, before);
}

#[test]
fn only_a_voter_with_a_new_storage_is_listed_as_non_member() {
    let mut driver = Driver::leader();
    driver.receive(&member(1, 1), hello(BootstrapState::Blank), 0);
    assert!(driver.status().non_members.is_empty());
    driver.receive(&member(1, 99), hello(BootstrapState::Blank), 0);
    assert_eq!(driver.status().non_members, [member(1, 99)]);
}

#[test]
fn a_blank_replica_does_not_bootstrap_after_a_hello_of_a_bootstrapped_one() {
    let mut driver = Driver::blank();
    driver.receive(&member(1, 1), hello(BootstrapState::Blank), 0);
    driver.receive(&member(2, 2), hello(BootstrapState::Bootstrapped), 0);
    driver.receive(&member(2, 2), hello(BootstrapState::Blank), 0);
    driver.advance_time(100);
    assert_eq!(driver.status().last_index, LogIndex(0));
}

#[test]
fn a_blank_replica_does_not_bootstrap_while_an_initial_voter_holds_a_log() {
    let mut driver = Driver::blank();
    driver.receive(&member(1, 1), hello(BootstrapState::Blank), 0);
    driver.receive(&member(2, 2), hello(BootstrapState::NonVoter), 0);
    driver.advance_time(100);
    assert_eq!(driver.status().last_index, LogIndex(0));
}

#[test]
fn a_follower_forwards_a_hello_to_its_leader() {
    let mut driver = Driver::follower();
    let sent = driver.receive(&member(2, 99), hello(BootstrapState::Blank), 0);
    let to_leader = sent
        .iter()
        .find(|envelope| envelope.to == member(1, 1).name);
    let forwarded = to_leader.expect("the hello is forwarded").message.clone();
    let mut leader = Driver::leader();
    leader.receive(&member(1, 1), forwarded, 0);
    assert_eq!(leader.status().non_members, [member(2, 99)]);
}

#[test]
fn a_group_is_bootstrapped_only_by_voters_with_equal_initial_voters() {
    for has_same_voters in [false, true] {
        let mut driver = Driver::blank();
        driver.receive(&member(1, 1), hello(BootstrapState::Blank), 0);
        let initial_voters_of_other = if has_same_voters { 0..3 } else { 1..4 };
        let message = Message::Hello(Hello {
            initial_voters: initial_voters_of_other
                .map(|number| member(number, 0).name)
                .collect(),
            bootstrap_state: BootstrapState::Blank,
        });
        driver.receive(&member(2, 2), message, 0);
        driver.advance_time(100);
        assert_eq!(driver.status().last_index.0 > 0, has_same_voters);
    }
}
