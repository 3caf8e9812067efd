//! Messages survive encoding, and damaged ones are refused or ignored.

use super::driver::{Driver, FOUNDED_TERM, member};
use agreement::{Append, Entry, Envelope, Message, Payload, SnapshotChunk, Term};
use names::LogIndex;
use quickcheck::{Gen, QuickCheck};

fn entry(index: u64) -> Entry {
    Entry {
        at_ms: 1,
        index: LogIndex(index),
        payload: Payload::Command(vec![5; 9]),
        term: FOUNDED_TERM,
    }
}

fn append(previous_index: u64, entries: Vec<Entry>) -> Message {
    Message::Append(Append {
        commit: LogIndex(1),
        entries,
        previous_index: LogIndex(previous_index),
        previous_term: FOUNDED_TERM,
        round: 0,
    })
}

fn chunk(offset_bytes: u64) -> Message {
    Message::SnapshotChunk(SnapshotChunk {
        at_ms: 1,
        data: vec![1; 10],
        index: LogIndex(9),
        length_bytes: 20,
        membership: Driver::voter().status().membership,
        offset_bytes,
        round: 0,
        term: FOUNDED_TERM,
    })
}

#[test]
fn a_mutated_message_is_decoded_or_refused_without_panic() {
    fn survives(takes_snapshot: bool, mutations: Vec<(u16, u8)>) -> bool {
        let mut driver = Driver::voter();
        let message = if takes_snapshot {
            chunk(0)
        } else {
            append(1, vec![entry(2), entry(3)])
        };
        let envelope = driver.envelope(&member(1, 1), message, 0);
        let mut bytes = postcard::to_stdvec(&envelope).unwrap();
        for (at, mask) in mutations {
            let at = usize::from(at) % bytes.len();
            bytes[at] ^= mask;
        }
        if let Ok(mutated) = postcard::from_bytes(&bytes) {
            driver.receive_envelope(mutated);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(4, 21))
        .tests(5_000)
        .quickcheck(survives as fn(bool, Vec<(u16, u8)>) -> bool);
}

#[test]
fn random_bytes_are_decoded_or_refused_without_panic() {
    fn survives(bytes: Vec<u8>) -> bool {
        let decoded = postcard::from_bytes::<Envelope>(&bytes);
        drop(bytes);
        if let Ok(envelope) = decoded {
            Driver::voter().receive_envelope(envelope);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 22))
        .tests(5_000)
        .quickcheck(survives as fn(Vec<u8>) -> bool);
}

#[test]
fn a_malformed_message_is_ignored() {
    let malformed = [
        append(1, vec![entry(3)]),
        append(u64::MAX, vec![entry(2)]),
        append(
            1,
            vec![Entry {
                term: Term(99),
                ..entry(2)
            }],
        ),
        chunk(15),
        chunk(u64::MAX),
    ];
    for message in malformed {
        let mut driver = Driver::voter();
        driver.receive(&member(1, 1), message, 0);
        assert_eq!(driver.status().leader, None);
        assert_eq!(driver.status().last_index, LogIndex(1));
    }
}

#[test]
fn a_well_formed_append_is_taken() {
    let mut driver = Driver::voter();
    driver.receive(&member(1, 1), append(1, vec![entry(2), entry(3)]), 0);
    assert_eq!(driver.status().leader, Some(member(1, 1).name));
    assert_eq!(driver.status().last_index, LogIndex(3));
    assert_eq!(driver.status().commit, LogIndex(1));
}
