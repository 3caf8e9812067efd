//! Delivery of deltas and snapshots to views: lost, late, repeated and out of order.

mod common;

use common::{KINDS, TableHarness, edit, key, row};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use table::{
    HISTORY_CHANGES_MAX, Item, ItemChange, ItemId, Items, Publication, Revision, View, ViewOutcome,
    ViewPublisher,
};

#[derive(Clone, Debug)]
enum Step {
    Deliver(u8),
    Edit(u8, u8, Option<u32>),
    Publish,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Deliver(u8::arbitrary(g)),
            1 => Self::Publish,
            _ => {
                let weight = 1 + u32::from(u8::arbitrary(g) % 9);
                let weight = bool::arbitrary(g).then_some(weight);
                Self::Edit(u8::arbitrary(g) % 4, u8::arbitrary(g) % 3, weight)
            }
        }
    }
}

fn apply_row_change(harness: &mut TableHarness, customer: u8, kind: u8, weight: Option<u32>) {
    let key = key(&format!("c{customer}"), KINDS[usize::from(kind)]);
    let current = harness.table.items().row(&key);
    let expected = current.map_or(Revision::ABSENT, |(_, revision)| revision);
    let id = format!("e{}", harness.index);
    harness.apply(&edit(
        &id,
        vec![ItemChange::row(key, expected, weight.map(row))],
    ));
}

#[test]
fn the_revision_of_a_view_never_decreases_and_the_view_converges() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = TableHarness::new();
        let mut view = View::default();
        let mut in_flight: Vec<Publication> = Vec::new();
        for step in steps {
            match step {
                Step::Deliver(n) if !in_flight.is_empty() => {
                    let before = view.revision();
                    view.apply(in_flight[usize::from(n) % in_flight.len()].clone());
                    assert!(view.revision() >= before);
                }
                Step::Deliver(_) => (),
                Step::Edit(customer, kind, weight) => {
                    apply_row_change(&mut harness, customer, kind, weight);
                }
                Step::Publish => in_flight.push(harness.table.publication_since(view.revision())),
            }
        }
        let last = harness.table.publication_since(view.revision());
        view.apply(last);
        let mut from_snapshot = View::default();
        from_snapshot.apply(Publication::Snapshot(harness.table.items_snapshot()));
        view.items() == harness.table.items() && from_snapshot.items() == view.items()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_delta_that_starts_too_late_is_a_gap() {
    let mut harness = TableHarness::new();
    harness.set_row("centre", "advice", 0, row(1));
    harness.set_row("centre", "syllabus", 0, row(1));
    let mut view = View::default();
    assert_eq!(
        view.apply(harness.table.publication_since(Revision(2))),
        ViewOutcome::Gap
    );
    assert_eq!(
        view.apply(harness.table.publication_since(Revision(0))),
        ViewOutcome::Applied
    );
    assert_eq!(
        view.apply(harness.table.publication_since(Revision(2))),
        ViewOutcome::Stale
    );
}

#[test]
fn a_subscriber_ahead_of_a_lagging_voter_keeps_its_revision() {
    let mut harness = TableHarness::new();
    let lagging = harness.table.clone();
    harness.set_row("centre", "advice", 0, row(1));
    let mut view = View::default();
    view.apply(harness.table.publication_since(view.revision()));
    assert_eq!(
        view.apply(lagging.publication_since(view.revision())),
        ViewOutcome::Stale
    );
    assert_eq!(view.revision(), Revision(2));
}

#[test]
fn a_delta_has_only_items_changed_since_its_start() {
    let mut harness = TableHarness::new();
    harness.set_row("centre", "advice", 0, row(1));
    harness.set_row("centre", "syllabus", 0, row(1));
    let Publication::Delta(delta) = harness.table.publication_since(Revision(2)) else {
        panic!("the history is complete");
    };
    let changed: Vec<_> = delta.changes.iter().map(|change| &change.item_id).collect();
    assert_eq!(changed, [&ItemId::Row(key("centre", "syllabus"))]);
}

#[test]
fn content_of_another_type_than_its_id_is_refused_without_a_panic() {
    let mut harness = TableHarness::new();
    harness.set_row("centre", "advice", 0, row(1));
    let Publication::Delta(mut delta) = harness.table.publication_since(Revision(0)) else {
        panic!("the history is complete");
    };
    let last = delta.changes.last_mut().unwrap();
    last.item = Some(Item::Kind);
    let mut view = View::default();
    let outcome = view.apply(Publication::Delta(delta));
    assert_eq!(outcome, ViewOutcome::Mismatch);
    assert!(view.items().is_empty());
    let item_id = ItemId::Row(key("centre", "advice"));
    let bytes = postcard::to_allocvec(&[(Item::Kind, Revision(1), item_id)].as_slice()).unwrap();
    assert!(postcard::from_bytes::<Items>(&bytes).is_err());
}

#[test]
fn an_items_snapshot_can_be_encoded_and_decoded() {
    let mut harness = TableHarness::new();
    harness.set_row("centre", "advice", 0, row(1));
    let bytes = postcard::to_allocvec(&harness.table.items_snapshot()).unwrap();
    let decoded = postcard::from_bytes(&bytes).unwrap();
    let mut view = View::default();
    view.apply(Publication::Snapshot(decoded));
    assert!(view.items() == harness.table.items());
}

#[test]
fn a_subscriber_far_behind_gets_a_snapshot() {
    let mut harness = TableHarness::new();
    let batch = 8_192;
    let mut revisions = vec![Revision::ABSENT; batch];
    for round in 0..=HISTORY_CHANGES_MAX / batch {
        let change = |(n, revision): (usize, &Revision)| {
            ItemChange::row(key(&format!("c{n}"), "advice"), *revision, Some(row(1)))
        };
        let changes = revisions.iter().enumerate().map(change).collect();
        harness.apply(&edit(&format!("round-{round}"), changes));
        revisions.fill(harness.table.revision());
    }
    let behind = harness.table.publication_since(Revision(1));
    assert!(matches!(behind, Publication::Snapshot(_)));
    let near = harness.table.publication_since(Revision(harness.index - 1));
    assert!(matches!(near, Publication::Delta(_)));
}

#[test]
fn a_view_updated_by_a_view_publisher_converges() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = TableHarness::new();
        let mut publisher = ViewPublisher::default();
        let mut view = View::default();
        for step in steps {
            match step {
                Step::Deliver(_) => {
                    if let Some(publication) = publisher.publication_since(view.revision()) {
                        assert_eq!(view.apply(publication), ViewOutcome::Applied);
                    }
                    assert_eq!(view.revision(), publisher.revision());
                    assert_eq!(view.items(), publisher.items());
                }
                Step::Edit(customer, kind, weight) => {
                    apply_row_change(&mut harness, customer, kind, weight);
                }
                Step::Publish => {
                    publisher.apply(harness.table.publication_since(publisher.revision()));
                }
            }
        }
        publisher.apply(harness.table.publication_since(publisher.revision()));
        let last = publisher.publication_since(view.revision());
        last.map(|publication| view.apply(publication));
        view.items() == harness.table.items()
            && publisher.publication_since(view.revision()).is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 13))
        .tests(100)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_view_publisher_sends_snapshots_for_revisions_before_its_first_delta() {
    let mut harness = TableHarness::new();
    harness.set_row("centre", "advice", 0, row(1));
    let mut publisher = ViewPublisher::default();
    publisher.apply(Publication::Snapshot(harness.table.items_snapshot()));
    let sent = publisher.publication_since(Revision(1));
    assert!(matches!(sent, Some(Publication::Snapshot(_))));
    harness.set_row("centre", "syllabus", 0, row(1));
    publisher.apply(harness.table.publication_since(publisher.revision()));
    let sent = publisher.publication_since(Revision(2));
    assert!(matches!(sent, Some(Publication::Delta(_))));
}
