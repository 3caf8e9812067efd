//! The group knows each software version that may have begun a stream, also after all instances restarted.

use control::StateMachine;
use names::LogIndex;
use quickcheck::QuickCheck;
use registry::{
    Document, RegistryCommand, RegistryStateMachine, SoftwareVersions, StreamOrigin, VersionChange,
};
use tokio::sync::watch;

fn origin(service: &str, software_version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        software_version: software_version.to_owned(),
    }
}

/// Guards against a version that is removed although its endpoints came back meanwhile.
#[test]
fn a_removal_spares_what_was_added_since() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its arguments by value"
    )]
    fn holds(steps: Vec<(bool, bool)>) -> bool {
        let forge = origin("forge", "v1");
        let mut versions = SoftwareVersions::default();
        let mut decided = Vec::new();
        let mut added = 0;
        for (number, (is_added, is_decided)) in (1..).zip(steps) {
            if is_added {
                versions.apply(number, VersionChange::Added(forge.clone()));
                added = number;
            }
            if is_decided {
                decided.extend(versions.entries().to_vec());
            } else if let Some(entry) = decided.pop() {
                let is_outdated = entry.number < added;
                let was_known = versions.contains(&forge);
                versions.apply(number, VersionChange::Removed(entry));
                if is_outdated && was_known && !versions.contains(&forge) {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<(bool, bool)>) -> bool);
}

/// Guards against a stream of unknown version that is resumed while there are two, or refused when there
/// is one.
#[test]
fn a_service_with_one_version_has_only_one_origin() {
    let mut versions = SoftwareVersions::default();
    assert_eq!(versions.only_origin("forge"), None);
    versions.apply(1, VersionChange::Added(origin("forge", "v1")));
    versions.apply(2, VersionChange::Added(origin("anvil", "v2")));
    assert_eq!(versions.only_origin("forge"), Some(&origin("forge", "v1")));
    versions.apply(3, VersionChange::Added(origin("forge", "v2")));
    assert_eq!(versions.only_origin("forge"), None);
    let oldest = versions.entries().iter().find(|entry| entry.number == 1);
    let oldest = oldest.unwrap().clone();
    versions.apply(4, VersionChange::Removed(oldest));
    assert_eq!(versions.only_origin("forge"), Some(&origin("forge", "v2")));
}

/// Guards against a version that is lost with the log when a snapshot replaces it.
#[test]
fn a_snapshot_restores_document_and_versions() {
    let (document, versions) = (watch::Sender::default(), watch::Sender::default());
    let mut state_machine = RegistryStateMachine::new(&document, &versions);
    let accepted = Document {
        bytes: b"{}".to_vec(),
        version: 7,
    };
    let commands = [
        RegistryCommand::PutDocument(accepted.clone()),
        RegistryCommand::ChangeVersions(VersionChange::Added(origin("forge", "v1"))),
    ];
    for (index, command) in (1..).zip(&commands) {
        state_machine.apply(LogIndex(index), 0, &command.encode());
    }
    let snapshot = state_machine.snapshot();
    let (document, versions) = (watch::Sender::default(), watch::Sender::default());
    RegistryStateMachine::new(&document, &versions).restore(&snapshot);
    assert_eq!(*document.borrow(), accepted);
    assert!(versions.borrow().contains(&origin("forge", "v1")));
}

/// Guards against a log or snapshot of an earlier build, which holds documents only, that cannot be read.
#[test]
fn logs_of_documents_only_are_read() {
    let accepted = Document {
        bytes: b"{}".to_vec(),
        version: 7,
    };
    let encoded = postcard::to_stdvec(&accepted).unwrap();
    let (document, versions) = (watch::Sender::default(), watch::Sender::default());
    let mut state_machine = RegistryStateMachine::new(&document, &versions);
    state_machine.apply(LogIndex(1), 0, &encoded);
    assert_eq!(*document.borrow(), accepted);
    let document = watch::Sender::default();
    RegistryStateMachine::new(&document, &versions).restore(&encoded);
    assert_eq!(*document.borrow(), accepted);
    assert_eq!(*versions.borrow(), SoftwareVersions::default());
}
