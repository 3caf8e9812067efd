use agreement::{
    AppendEntries, AppendResponse, AppendResult, Entry, Envelope, Message, Payload, Term,
    VoteRequest, VoteResponse,
};
use names::LogIndex;

use super::driver::{BOOTSTRAP_TERM, Driver, member};

fn append(term: Term, count: u64) -> Message {
    let entries = (2..2 + count).map(|index| Entry {
        timestamp_ms: 1,
        index: LogIndex(index),
        payload: Payload::Noop,
        term,
    });
    Message::AppendEntries(AppendEntries {
        commit_index: LogIndex(1),
        entries: entries.collect(),
        previous_index: LogIndex(1),
        previous_term: BOOTSTRAP_TERM,
        confirmation_round: 0,
    })
}

fn append_results(sent: &[Envelope]) -> Vec<(Term, AppendResult)> {
    sent.iter()
        .filter_map(|envelope| match &envelope.message {
            Message::AppendResponse(AppendResponse { result, .. }) => {
                Some((envelope.term, *result))
            }
            _ => None,
        })
        .collect()
}

#[test]
fn a_vote_is_sent_only_once_it_is_durable() {
    let mut driver = Driver::voter();
    driver.stall_disk();
    let request = Message::VoteRequest(VoteRequest {
        is_leadership_transfer: false,
        last_index: LogIndex(1),
        last_term: BOOTSTRAP_TERM,
        pre_vote: false,
    });
    assert!(driver.receive(&member(1, 1), request, 1).is_empty());
    let sent = driver.resume_disk();
    let granted = VoteResponse {
        granted: true,
        pre_vote: false,
    };
    assert_eq!(sent[0].message, Message::VoteResponse(granted));
}

#[test]
fn a_late_durable_write_does_not_acknowledge_entries_that_replaced_its_own() {
    let mut driver = Driver::voter();
    driver.stall_disk();
    let (old, new) = (Term(BOOTSTRAP_TERM.0 + 1), Term(BOOTSTRAP_TERM.0 + 2));
    assert!(driver.receive(&member(1, 1), append(old, 3), 1).is_empty());
    assert!(driver.receive(&member(2, 2), append(new, 1), 1).is_empty());
    assert_eq!(driver.status().last_index, LogIndex(2));
    let matched = |index| AppendResult::Matched {
        match_index: LogIndex(index),
    };
    let results = append_results(&driver.resume_disk());
    assert_eq!(results, [(old, matched(4)), (new, matched(2))]);
}
