use agreement::{AppendResponse, AppendResult, Message, ReplicaRequestId, ReplicaRole};
use names::LogIndex;

use super::driver::{Driver, member};

fn response(match_index: LogIndex, confirmation_round: u64) -> Message {
    Message::AppendResponse(AppendResponse {
        result: AppendResult::Matched { match_index },
        confirmation_round,
    })
}

#[test]
fn a_read_index_is_confirmed_only_by_responses_to_later_messages() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    driver.receive(&member(1, 1), response(last, 0), 0);
    driver.request_read_index(1);
    driver.receive(&member(1, 1), response(last, 0), 0);
    driver.receive(&member(2, 2), response(last, 0), 0);
    assert!(driver.confirmed_reads().is_empty());
    driver.receive(&member(1, 1), response(last, 1), 0);
    assert_eq!(driver.confirmed_reads(), [ReplicaRequestId(1)]);
}

#[test]
fn a_read_index_is_not_confirmed_before_an_entry_of_the_term_is_committed() {
    let mut driver = Driver::leader();
    let last = driver.status().last_index;
    driver.request_read_index(1);
    driver.receive(&member(1, 1), response(last, 1), 0);
    assert!(driver.confirmed_reads().is_empty());
}

#[test]
fn a_leader_without_responses_of_a_quorum_steps_down() {
    let mut driver = Driver::leader();
    for _ in 0..20 {
        driver.advance_time(100);
        driver.receive(&member(1, 1), response(LogIndex(1), 0), 0);
    }
    assert_eq!(driver.status().role, ReplicaRole::Leader);
    driver.advance_time(1_001);
    assert_eq!(driver.status().role, ReplicaRole::Follower);
}

#[test]
fn a_leader_whose_disk_stalls_steps_down() {
    let mut driver = Driver::leader();
    driver.stall_disk();
    driver.propose();
    for _ in 0..25 {
        driver.advance_time(100);
        let last = driver.status().last_index;
        driver.receive(&member(1, 1), response(last, 0), 0);
    }
    assert_eq!(driver.status().role, ReplicaRole::Follower);
}

#[test]
fn a_follower_whose_window_is_full_is_still_sent_heartbeats_after_a_compaction() {
    let mut driver = Driver::leader();
    driver.receive(&member(2, 2), response(LogIndex(2), 0), 0);
    for _ in 0..10 {
        driver.propose();
    }
    let last = driver.status().last_index;
    driver.receive(&member(1, 1), response(last, 0), 0);
    assert_eq!(driver.status().commit_index, last);
    driver.compact();
    let sent = driver.advance_time(100);
    assert!(sent.iter().any(|envelope| envelope.to == member(2, 2).name));
}

/// After all voters were killed and restarted, an election must not wait for a whole timeout.
#[test]
fn a_restarted_voter_requests_pre_votes_within_one_election_timeout() {
    let mut driver = Driver::voter();
    let sent = driver.advance_time(1_000);
    let is_pre_vote =
        |message: &Message| matches!(message, Message::VoteRequest(request) if request.pre_vote);
    assert!(sent.iter().any(|envelope| is_pre_vote(&envelope.message)));
}

#[test]
fn a_voter_with_a_leader_requests_no_pre_votes_within_one_election_timeout() {
    let mut driver = Driver::follower();
    let sent = driver.advance_time(1_000);
    assert!(sent.is_empty());
}
