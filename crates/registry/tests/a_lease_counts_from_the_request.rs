//! A lease ends before a document that was accepted after its confirmation is older than one lease.
//! The state machine keeps the document with the highest version in any order of commands.

use control::StateMachine;
use names::LogIndex;
use placement::Load;
use quickcheck::QuickCheck;
use registry::{
    CoveredReservations, Document, EndpointLoad, Lease, LoadAggregator, LoadReport,
    RegistryCommand, RegistryStateMachine, ServiceLoad, SubscribedEndpoints,
};
use tokio::sync::watch;

const LEASE_MS: u64 = 4_200;
const LEASE_OUTDATED_MS: u64 = 2_100;

#[test]
fn a_lease_without_a_confirmation_is_not_valid() {
    assert!(!Lease::new(LEASE_MS, LEASE_OUTDATED_MS).is_valid(0));
}

#[test]
fn a_lease_ends_one_duration_after_the_request() {
    let mut lease = Lease::new(LEASE_MS, LEASE_OUTDATED_MS);
    lease.confirm(1_000, 1);
    lease.put_in_force(1);
    assert!(lease.is_valid(1_000 + LEASE_MS - 1));
    assert!(!lease.is_valid(1_000 + LEASE_MS));
}

#[test]
fn a_late_older_confirmation_does_not_shorten_the_lease() {
    let mut lease = Lease::new(LEASE_MS, LEASE_OUTDATED_MS);
    lease.put_in_force(1);
    lease.confirm(2_000, 1);
    lease.confirm(1_000, 1);
    assert_eq!(lease.age_ms(2_500), Some(500));
}

/// Guards against an outdated document that is obeyed for as long as one that may be the newest.
#[test]
fn a_lease_is_shorter_while_a_newer_document_is_known() {
    let mut lease = Lease::new(LEASE_MS, LEASE_OUTDATED_MS);
    lease.put_in_force(1);
    lease.confirm(1_000, 1);
    lease.record_version(2);
    assert!(lease.is_valid(1_000 + LEASE_OUTDATED_MS - 1));
    assert!(!lease.is_valid(1_000 + LEASE_OUTDATED_MS));
    lease.put_in_force(2);
    assert!(lease.is_valid(1_000 + LEASE_MS - 1));
}

/// Guards against an instance that puts each document in force in time, but loses its lease because it
/// always knows of the next one as well.
#[test]
fn an_instance_one_document_behind_keeps_its_lease() {
    let mut lease = Lease::new(LEASE_MS, LEASE_OUTDATED_MS);
    lease.confirm(0, 1);
    lease.put_in_force(1);
    for version in 2..100 {
        let told_at_ms = version * 400;
        lease.confirm(told_at_ms, version);
        assert!(lease.is_valid(told_at_ms));
        lease.confirm(told_at_ms + 300, version + 1);
        lease.put_in_force(version);
        assert!(lease.is_valid(told_at_ms + 399));
        assert_eq!(lease.age_ms(told_at_ms + 300), Some(300));
    }
}

#[test]
fn a_confirmation_does_not_cover_an_older_document() {
    let mut lease = Lease::new(LEASE_MS, LEASE_OUTDATED_MS);
    lease.confirm(0, 1);
    lease.put_in_force(1);
    lease.confirm(1_000, 3);
    lease.put_in_force(2);
    assert_eq!(lease.age_ms(1_500), Some(1_500));
    lease.put_in_force(3);
    assert_eq!(lease.age_ms(1_500), Some(500));
}

#[test]
fn the_document_with_the_highest_version_is_kept() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn keeps_the_highest_version(versions: Vec<u64>) -> bool {
        let (published, current) = watch::channel(Document::default());
        let software_versions = watch::Sender::default();
        let mut state_machine = RegistryStateMachine::new(&published, &software_versions);
        let mut highest: Option<(u64, usize)> = None;
        for (position, &version) in versions.iter().enumerate() {
            let document = Document {
                bytes: position.to_string().into_bytes(),
                version,
            };
            let index = LogIndex(position as u64 + 1);
            let command = RegistryCommand::PutDocument(document);
            state_machine.apply(index, 0, &command.encode());
            if version > highest.map_or(0, |highest| highest.0) {
                highest = Some((version, position));
            }
        }
        let current = current.borrow();
        match highest {
            Some((version, position)) => {
                current.version == version && current.bytes == position.to_string().into_bytes()
            }
            None => current.version == 0,
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(keeps_the_highest_version as fn(Vec<u64>) -> bool);
}

#[test]
fn a_snapshot_restores_the_document() {
    let (published, _current) = watch::channel(Document::default());
    let software_versions = watch::Sender::default();
    let mut state_machine = RegistryStateMachine::new(&published, &software_versions);
    let document = Document {
        bytes: b"{}".to_vec(),
        version: 7,
    };
    let command = RegistryCommand::PutDocument(document.clone());
    state_machine.apply(LogIndex(1), 0, &command.encode());
    let (published, current) = watch::channel(Document::default());
    let mut restored = RegistryStateMachine::new(&published, &software_versions);
    restored.restore(&state_machine.snapshot());
    assert_eq!(*current.borrow(), document);
}

fn report(instance: &str, requests: u32) -> LoadReport {
    LoadReport {
        subscribed_endpoints: SubscribedEndpoints::All,
        instance: instance.to_owned(),
        limits: Vec::new(),
        loads: vec![EndpointLoad {
            id: "a".to_owned(),
            load: Load {
                requests,
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
fn loads_are_aggregated_until_an_instance_stops_reporting() {
    let mut aggregator = LoadAggregator::default();
    aggregator.apply_report(0, report("x", 3));
    let both = aggregator.apply_report(100, report("y", 4));
    assert_eq!((both.instances, both.loads[0].load.requests), (2, 7));
    assert_eq!(both.services[0].retries, 4);
    let alone = aggregator.apply_report(5_000, report("y", 4));
    assert_eq!((alone.instances, alone.loads[0].load.requests), (1, 4));
}
