//! Votes and acknowledgements count only for the storage that the membership names.

use super::driver::{Driver, FOUNDED_TERM, member};
use agreement::{
    AppendAnswer, AppendResult, Envelope, Hello, Message, RoleName, Standing, VoteAnswer,
};
use names::LogIndex;

fn granted(pre_vote: bool) -> Message {
    Message::VoteAnswer(VoteAnswer {
        granted: true,
        pre_vote,
    })
}

fn hello(standing: Standing) -> Message {
    Message::Hello(Hello {
        initial_voters: (0..3).map(|number| member(number, 0).name).collect(),
        standing,
    })
}

#[test]
fn a_vote_from_another_storage_of_a_voter_does_not_count() {
    let mut driver = Driver::voter();
    driver.pass_time(3_000);
    driver.receive(&member(1, 99), granted(true), 1);
    assert_eq!(driver.status().term, FOUNDED_TERM);
    driver.receive(&member(1, 1), granted(true), 1);
    assert_eq!(driver.status().term.0, FOUNDED_TERM.0 + 1);
    driver.receive(&member(1, 99), granted(false), 0);
    assert_eq!(driver.status().role, RoleName::Candidate);
    driver.receive(&member(1, 1), granted(false), 0);
    assert_eq!(driver.status().role, RoleName::Leader);
}

#[test]
fn an_acknowledgement_from_another_storage_of_a_voter_does_not_count() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    let answer = Message::AppendAnswer(AppendAnswer {
        result: AppendResult::Matched { matched: last },
        round: 0,
    });
    driver.receive(&member(1, 99), answer.clone(), 0);
    assert_eq!(driver.status().commit, LogIndex(0));
    driver.receive(&member(1, 1), answer, 0);
    assert_eq!(driver.status().commit, last);
}

#[test]
fn a_message_for_another_storage_of_this_instance_is_ignored() {
    let mut driver = Driver::voter();
    let before = driver.status().term;
    let envelope = Envelope {
        term: agreement::Term(before.0 + 5),
        to_storage: Some(agreement::StorageId(77)),
        ..driver.envelope(&member(1, 1), Message::StartElection, 0)
    };
    driver.receive_envelope(envelope);
    assert_eq!(driver.status().term, before);
}

#[test]
fn a_voter_with_a_new_storage_is_introduced_and_an_old_one_is_not() {
    let mut driver = Driver::leader();
    driver.receive(&member(1, 1), hello(Standing::Blank), 0);
    assert!(driver.status().non_members.is_empty());
    driver.receive(&member(1, 99), hello(Standing::Blank), 0);
    assert_eq!(driver.status().non_members, [member(1, 99)]);
}

#[test]
fn a_blank_replica_founds_nothing_after_it_met_a_founded_one() {
    let mut driver = Driver::blank();
    driver.receive(&member(1, 1), hello(Standing::Blank), 0);
    driver.receive(&member(2, 2), hello(Standing::Settled), 0);
    driver.receive(&member(2, 2), hello(Standing::Blank), 0);
    driver.pass_time(100);
    assert_eq!(driver.status().last_index, LogIndex(0));
}

#[test]
fn a_blank_replica_founds_nothing_while_an_initial_voter_holds_a_log() {
    let mut driver = Driver::blank();
    driver.receive(&member(1, 1), hello(Standing::Blank), 0);
    driver.receive(&member(2, 2), hello(Standing::Outsider), 0);
    driver.pass_time(100);
    assert_eq!(driver.status().last_index, LogIndex(0));
}

#[test]
fn a_follower_passes_an_introduction_on_to_its_leader() {
    let mut driver = Driver::follower();
    let sent = driver.receive(&member(2, 99), hello(Standing::Blank), 0);
    let passed_on = sent
        .iter()
        .find(|envelope| envelope.to == member(1, 1).name);
    let introduction = passed_on.expect("the leader is told").message.clone();
    let mut leader = Driver::leader();
    leader.receive(&member(1, 1), introduction, 0);
    assert_eq!(leader.status().non_members, [member(2, 99)]);
}

#[test]
fn a_group_is_founded_only_by_voters_that_name_each_other() {
    for agrees in [false, true] {
        let mut driver = Driver::blank();
        driver.receive(&member(1, 1), hello(Standing::Blank), 0);
        let others = if agrees { 0..3 } else { 1..4 };
        let message = Message::Hello(Hello {
            initial_voters: others.map(|number| member(number, 0).name).collect(),
            standing: Standing::Blank,
        });
        driver.receive(&member(2, 2), message, 0);
        driver.pass_time(100);
        assert_eq!(driver.status().last_index.0 > 0, agrees);
    }
}
