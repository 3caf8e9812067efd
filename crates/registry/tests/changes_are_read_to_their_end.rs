//! The history of a registry lets a subscriber read a change to its end although newer documents are
//! accepted, and begin anew where this registry cannot continue it.

mod support;

use std::sync::Arc;

use catalog::{Catalog, CatalogChange};
use registry::{CatalogHistory, ChangeChunk, ChangePosition, DocumentDecoder};
use slog::{Discard, Logger, o};
use support::{TestDecoder, document};

/// Documents that a registry keeps at least.
const KEPT_DOCUMENTS: u64 = 32;

const LARGE_ROUTES: usize = 1_000;

fn history() -> CatalogHistory {
    CatalogHistory::new(Arc::new(TestDecoder), &Logger::root(Discard, o!()))
}

fn start(base_version: u64) -> ChangePosition {
    ChangePosition {
        base_version,
        first_byte: 0,
        version: 0,
    }
}

fn position_after(chunk: &ChangeChunk) -> ChangePosition {
    ChangePosition {
        base_version: chunk.base_version,
        first_byte: chunk.first_byte + chunk.bytes.len() as u64,
        version: chunk.version,
    }
}

/// Reads on to the end of a change, after the bytes of a first chunk.
fn read_rest(history: &mut CatalogHistory, first: &ChangeChunk) -> CatalogChange {
    let mut bytes = first.bytes.clone();
    let mut position = position_after(first);
    while (bytes.len() as u64) < first.change_bytes {
        let chunk = history.read(position).unwrap();
        assert_eq!(
            (chunk.base_version, chunk.version, chunk.first_byte),
            (first.base_version, first.version, position.first_byte)
        );
        position = position_after(&chunk);
        bytes.extend(chunk.bytes);
    }
    postcard::from_bytes(&bytes).unwrap()
}

fn catalog(version: u64, route_count: usize) -> Catalog {
    TestDecoder
        .decode(&document(version, route_count).bytes)
        .unwrap()
}

/// Guards against a subscriber that begins anew with each document that comes while it reads one.
#[test]
fn a_change_is_read_on_while_newer_documents_come() {
    let mut history = history();
    history.add(&document(1, 0));
    history.add(&document(2, LARGE_ROUTES));
    let first = history.read(start(1)).unwrap();
    assert!((first.bytes.len() as u64) < first.change_bytes);
    for version in 3..3 + KEPT_DOCUMENTS - 2 {
        history.add(&document(version, LARGE_ROUTES));
    }
    let change = read_rest(&mut history, &first);
    let read = Catalog::apply(Some(&catalog(1, 0)), change).unwrap();
    let expected = catalog(2, LARGE_ROUTES);
    assert_eq!(read.changes_since(None), expected.changes_since(None));
}

/// Guards against a subscriber that waits for a version which its registry has dropped.
#[test]
fn a_change_to_a_dropped_version_begins_anew_with_the_newest() {
    let mut history = history();
    history.add(&document(1, 0));
    history.add(&document(2, LARGE_ROUTES));
    let first = history.read(start(1)).unwrap();
    let newest = 3 + KEPT_DOCUMENTS;
    for version in 3..=newest {
        history.add(&document(version, LARGE_ROUTES));
    }
    let chunk = history.read(position_after(&first)).unwrap();
    assert_eq!(
        (chunk.base_version, chunk.version, chunk.first_byte),
        (0, newest, 0)
    );
    let change = read_rest(&mut history, &chunk);
    let expected = catalog(newest, LARGE_ROUTES);
    assert_eq!(change, expected.changes_since(None));
}

/// Guards against a subscriber that cannot continue at another registry what one has begun.
#[test]
fn another_registry_continues_a_change() {
    let mut histories = [history(), history()];
    for history in &mut histories {
        for version in 1..=4 {
            history.add(&document(version, LARGE_ROUTES * usize::from(version > 1)));
        }
    }
    let [one, other] = &mut histories;
    let first = one.read(start(1)).unwrap();
    one.add(&document(5, LARGE_ROUTES));
    let change = read_rest(other, &first);
    assert_eq!(
        change,
        catalog(4, LARGE_ROUTES).changes_since(Some(&catalog(1, 0)))
    );
}

#[test]
fn a_subscriber_with_an_unknown_version_gets_the_whole_catalog() {
    let mut history = history();
    assert!(history.read(start(7)).is_none());
    history.add(&document(9, 2));
    for base_version in [0, 7, 12] {
        let chunk = history.read(start(base_version)).unwrap();
        assert_eq!((chunk.base_version, chunk.version), (0, 9));
    }
}
