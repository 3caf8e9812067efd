//! Leases end before a document that was accepted after their proof is one lease old, and the
//! document with the highest version is kept whatever the order.

use control::StateMachine;
use names::LogIndex;
use placement::Load;
use quickcheck::QuickCheck;
use registry::{
    CoveredReservations, Document, DocumentStateMachine, EndpointLoad, Lease, LoadAggregator,
    LoadReport, ServiceLoad, SubscribedEndpoints,
};
use tokio::sync::watch;

const LEASE_MS: u64 = 4_200;

#[test]
fn a_lease_without_a_proof_is_not_valid() {
    assert!(!Lease::new(LEASE_MS).is_valid(0));
}

#[test]
fn a_lease_ends_one_length_after_the_question() {
    let mut lease = Lease::new(LEASE_MS);
    lease.renew(1_000);
    assert!(lease.is_valid(1_000 + LEASE_MS - 1));
    assert!(!lease.is_valid(1_000 + LEASE_MS));
}

#[test]
fn an_older_proof_that_comes_late_shortens_nothing() {
    let mut lease = Lease::new(LEASE_MS);
    lease.renew(2_000);
    lease.renew(1_000);
    assert_eq!(lease.age_ms(2_500), Some(500));
}

#[test]
fn the_highest_version_is_kept() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its arguments over"
    )]
    fn holds(versions: Vec<u64>) -> bool {
        let (published, held) = watch::channel(Document::default());
        let mut machine = DocumentStateMachine::new(&published);
        let mut highest: Option<(u64, usize)> = None;
        for (position, &version) in versions.iter().enumerate() {
            let document = Document {
                bytes: position.to_string().into_bytes(),
                version,
            };
            let index = LogIndex(position as u64 + 1);
            machine.apply(index, 0, &DocumentStateMachine::encode_command(&document));
            if version > highest.map_or(0, |highest| highest.0) {
                highest = Some((version, position));
            }
        }
        let held = held.borrow();
        match highest {
            Some((version, position)) => {
                held.version == version && held.bytes == position.to_string().into_bytes()
            }
            None => held.version == 0,
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u64>) -> bool);
}

#[test]
fn a_snapshot_holds_the_document() {
    let (published, _held) = watch::channel(Document::default());
    let mut machine = DocumentStateMachine::new(&published);
    let document = Document {
        bytes: b"{}".to_vec(),
        version: 7,
    };
    machine.apply(
        LogIndex(1),
        0,
        &DocumentStateMachine::encode_command(&document),
    );
    let (published, held) = watch::channel(Document::default());
    let mut restored = DocumentStateMachine::new(&published);
    restored.restore(&machine.snapshot());
    assert_eq!(*held.borrow(), document);
}

fn report(instance: &str, runs: u32) -> LoadReport {
    LoadReport {
        subscribed_endpoints: SubscribedEndpoints::All,
        instance: instance.to_owned(),
        loads: vec![EndpointLoad {
            id: "a".to_owned(),
            load: Load {
                requests: runs,
                predicted_tokens: 100,
                ..Load::default()
            },
            successes: 1,
            ..EndpointLoad::default()
        }],
        reservations: CoveredReservations::default(),
        services: vec![ServiceLoad {
            name: "forge-llm".to_owned(),
            retries: 2,
            requests: 10,
        }],
    }
}

#[test]
fn loads_are_summed_until_an_instance_falls_silent() {
    let mut board = LoadAggregator::default();
    board.exchange(0, report("x", 3));
    let both = board.exchange(100, report("y", 4));
    assert_eq!((both.instances, both.loads[0].load.requests), (2, 7));
    assert_eq!(both.services[0].retries, 4);
    let alone = board.exchange(5_000, report("y", 4));
    assert_eq!((alone.instances, alone.loads[0].load.requests), (1, 4));
}
