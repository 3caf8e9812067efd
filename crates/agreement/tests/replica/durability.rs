use agreement::{
    Append, AppendAnswer, AppendResult, Entry, Envelope, Message, Payload, Term, VoteAnswer,
    VoteRequest,
};
use names::LogIndex;

use super::driver::{Driver, FOUNDED_TERM, member};

fn append(term: Term, count: u64) -> Message {
    let entries = (2..2 + count).map(|index| Entry {
        at_ms: 1,
        index: LogIndex(index),
        payload: Payload::Noop,
        term,
    });
    Message::Append(Append {
        commit: LogIndex(1),
        entries: entries.collect(),
        previous_index: LogIndex(1),
        previous_term: FOUNDED_TERM,
        round: 0,
    })
}

fn matched(sent: &[Envelope]) -> Vec<(Term, AppendResult)> {
    sent.iter()
        .filter_map(|envelope| match &envelope.message {
            Message::AppendAnswer(AppendAnswer { result, .. }) => Some((envelope.term, *result)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_vote_is_sent_only_once_it_is_durable() {
    let mut driver = Driver::voter();
    driver.stick_disk();
    let request = Message::VoteRequest(VoteRequest {
        forced: false,
        last_index: LogIndex(1),
        last_term: FOUNDED_TERM,
        pre_vote: false,
    });
    assert!(driver.receive(&member(1, 1), request, 1).is_empty());
    let sent = driver.free_disk();
    let granted = VoteAnswer {
        granted: true,
        pre_vote: false,
    };
    assert_eq!(sent[0].message, Message::VoteAnswer(granted));
}

#[test]
fn a_write_that_becomes_durable_late_does_not_vouch_for_entries_that_replaced_its_own() {
    let mut driver = Driver::voter();
    driver.stick_disk();
    let (old, new) = (Term(FOUNDED_TERM.0 + 1), Term(FOUNDED_TERM.0 + 2));
    assert!(driver.receive(&member(1, 1), append(old, 3), 1).is_empty());
    assert!(driver.receive(&member(2, 2), append(new, 1), 1).is_empty());
    assert_eq!(driver.status().last_index, LogIndex(2));
    let answer = |index| AppendResult::Matched {
        matched: LogIndex(index),
    };
    let answers = matched(&driver.free_disk());
    assert_eq!(answers, [(old, answer(4)), (new, answer(2))]);
}
