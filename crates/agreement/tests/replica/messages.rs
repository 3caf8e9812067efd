//! Malformed and corrupted messages are rejected or ignored without a panic.

use super::driver::{BOOTSTRAP_TERM, Driver, member};
use agreement::{AppendEntries, Entry, Envelope, Message, Payload, SnapshotChunk, Term};
use names::LogIndex;
use quickcheck::{Gen, QuickCheck};

fn entry(index: u64) -> Entry {
    Entry {
        timestamp_ms: 1,
        index: LogIndex(index),
        payload: Payload::Command(vec![5; 9]),
        term: BOOTSTRAP_TERM,
    }
}

fn append(previous_index: u64, entries: Vec<Entry>) -> Message {
    Message::AppendEntries(AppendEntries {
        commit_index: LogIndex(1),
        entries,
        previous_index: LogIndex(previous_index),
        previous_term: BOOTSTRAP_TERM,
        confirmation_round: 0,
    })
}

fn chunk(offset_bytes: u64) -> Message {
    Message::SnapshotChunk(SnapshotChunk {
        timestamp_ms: 1,
        data: vec![1; 10],
        index: LogIndex(9),
        length_bytes: 20,
        membership: Driver::voter().status().membership,
        offset_bytes,
        confirmation_round: 0,
        term: BOOTSTRAP_TERM,
    })
}

#[test]
fn a_mutated_message_is_decoded_or_rejected_without_panic() {
    fn is_handled_without_panic(is_snapshot_chunk: bool, mutations: Vec<(u16, u8)>) -> bool {
        let mut driver = Driver::voter();
        let message = if is_snapshot_chunk {
            chunk(0)
        } else {
            append(1, vec![entry(2), entry(3)])
        };
        let envelope = driver.envelope(&member(1, 1), message, 0);
        let mut bytes = postcard::to_stdvec(&envelope).unwrap();
        for (offset, mask) in mutations {
            let offset = usize::from(offset) % bytes.len();
            bytes[offset] ^= mask;
        }
        if let Ok(mutated) = postcard::from_bytes(&bytes) {
            driver.receive_envelope(mutated);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(4, 21))
        .tests(5_000)
        .quickcheck(is_handled_without_panic as fn(bool, Vec<(u16, u8)>) -> bool);
}

#[test]
fn random_bytes_are_decoded_or_rejected_without_panic() {
    fn is_handled_without_panic(bytes: Vec<u8>) -> bool {
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
        .quickcheck(is_handled_without_panic as fn(Vec<u8>) -> bool);
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
fn a_well_formed_append_is_accepted() {
    let mut driver = Driver::voter();
    driver.receive(&member(1, 1), append(1, vec![entry(2), entry(3)]), 0);
    assert_eq!(driver.status().leader, Some(member(1, 1).name));
    assert_eq!(driver.status().last_index, LogIndex(3));
    assert_eq!(driver.status().commit_index, LogIndex(1));
}
