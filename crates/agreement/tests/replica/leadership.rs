use agreement::{AppendAnswer, AppendResult, Message, RequestNumber, RoleName};
use names::LogIndex;

use super::driver::{Driver, member};

fn answer(matched: LogIndex, round: u64) -> Message {
    Message::AppendAnswer(AppendAnswer {
        result: AppendResult::Matched { matched },
        round,
    })
}

#[test]
fn leadership_is_confirmed_only_by_answers_to_messages_sent_afterwards() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    driver.receive(&member(1, 1), answer(last, 0), 0);
    driver.confirm(1);
    driver.receive(&member(1, 1), answer(last, 0), 0);
    driver.receive(&member(2, 2), answer(last, 0), 0);
    assert!(driver.confirmed().is_empty());
    driver.receive(&member(1, 1), answer(last, 1), 0);
    assert_eq!(driver.confirmed(), [RequestNumber(1)]);
}

#[test]
fn leadership_is_not_confirmed_before_the_term_has_committed() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    driver.confirm(1);
    driver.receive(&member(1, 1), answer(last, 1), 0);
    assert!(driver.confirmed().is_empty());
}

#[test]
fn a_leader_that_hears_from_no_quorum_steps_down() {
    let mut driver = Driver::leader();
    for _ in 0..20 {
        driver.pass_time(100);
        driver.receive(&member(1, 1), answer(LogIndex(1), 0), 0);
    }
    assert_eq!(driver.status().role, RoleName::Leader);
    driver.pass_time(1_001);
    assert_eq!(driver.status().role, RoleName::Follower);
}

#[test]
fn a_leader_whose_disk_stalls_steps_down() {
    let mut driver = Driver::leader();
    driver.stick_disk();
    driver.propose();
    for _ in 0..25 {
        driver.pass_time(100);
        let last = driver.status().last_index;
        driver.receive(&member(1, 1), answer(last, 0), 0);
    }
    assert_eq!(driver.status().role, RoleName::Follower);
}

#[test]
fn a_follower_whose_window_is_full_is_still_sent_heartbeats_after_a_compaction() {
    let mut driver = Driver::leader();
    driver.receive(&member(2, 2), answer(LogIndex(2), 0), 0);
    for _ in 0..10 {
        driver.propose();
    }
    let last = driver.status().last_index;
    driver.receive(&member(1, 1), answer(last, 0), 0);
    assert_eq!(driver.status().commit, last);
    driver.compact();
    let sent = driver.pass_time(100);
    assert!(sent.iter().any(|envelope| envelope.to == member(2, 2).name));
}

/// Pattern: all voters are killed at once and come back.
#[test]
fn a_voter_that_has_just_started_asks_for_votes_within_one_timeout() {
    let mut driver = Driver::voter();
    let sent = driver.pass_time(1_000);
    let asks =
        |message: &Message| matches!(message, Message::VoteRequest(request) if request.pre_vote);
    assert!(sent.iter().any(|envelope| asks(&envelope.message)));
}

#[test]
fn a_voter_that_hears_of_a_leader_in_time_does_not() {
    let mut driver = Driver::follower();
    let sent = driver.pass_time(1_000);
    assert!(sent.is_empty());
}
