//! Deltas and snapshots to subscribers, lost, late and repeated.

mod common;

use common::{Bench, KINDS, edit, key, row};
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

fn change(bench: &mut Bench, customer: u8, kind: u8, weight: Option<u32>) {
    let key = key(&format!("c{customer}"), KINDS[usize::from(kind)]);
    let current = bench.table.items().row(&key);
    let expected = current.map_or(Revision::ABSENT, |(_, revision)| revision);
    let id = format!("e{}", bench.index);
    bench.apply(&edit(
        &id,
        vec![ItemChange::row(key, expected, weight.map(row))],
    ));
}

#[test]
fn a_view_never_goes_back_and_ends_equal_to_the_table() {
    fn property(steps: Vec<Step>) -> bool {
        let mut bench = Bench::new();
        let mut view = View::default();
        let mut under_way: Vec<Publication> = Vec::new();
        for step in steps {
            match step {
                Step::Deliver(n) if !under_way.is_empty() => {
                    let before = view.revision();
                    view.apply(under_way[usize::from(n) % under_way.len()].clone());
                    assert!(view.revision() >= before);
                }
                Step::Deliver(_) => (),
                Step::Edit(customer, kind, weight) => change(&mut bench, customer, kind, weight),
                Step::Publish => under_way.push(bench.table.publication_since(view.revision())),
            }
        }
        let last = bench.table.publication_since(view.revision());
        view.apply(last);
        let mut from_snapshot = View::default();
        from_snapshot.apply(Publication::Snapshot(bench.table.items_snapshot()));
        view.items() == bench.table.items() && from_snapshot.items() == view.items()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_delta_that_starts_too_late_is_a_gap() {
    let mut bench = Bench::new();
    bench.set("centre", "advice", 0, row(1));
    bench.set("centre", "syllabus", 0, row(1));
    let mut view = View::default();
    assert_eq!(
        view.apply(bench.table.publication_since(Revision(2))),
        ViewOutcome::Gap
    );
    assert_eq!(
        view.apply(bench.table.publication_since(Revision(0))),
        ViewOutcome::Applied
    );
    assert_eq!(
        view.apply(bench.table.publication_since(Revision(2))),
        ViewOutcome::Stale
    );
}

#[test]
fn a_subscriber_ahead_of_a_lagging_voter_keeps_what_it_has() {
    let mut bench = Bench::new();
    let lagging = bench.table.clone();
    bench.set("centre", "advice", 0, row(1));
    let mut view = View::default();
    view.apply(bench.table.publication_since(view.revision()));
    assert_eq!(
        view.apply(lagging.publication_since(view.revision())),
        ViewOutcome::Stale
    );
    assert_eq!(view.revision(), Revision(2));
}

#[test]
fn a_delta_holds_only_what_changed_since() {
    let mut bench = Bench::new();
    bench.set("centre", "advice", 0, row(1));
    bench.set("centre", "syllabus", 0, row(1));
    let Publication::Delta(delta) = bench.table.publication_since(Revision(2)) else {
        panic!("the history is complete");
    };
    let changed: Vec<_> = delta.changes.iter().map(|change| &change.item_id).collect();
    assert_eq!(changed, [&ItemId::Row(key("centre", "syllabus"))]);
}

#[test]
fn content_that_does_not_fit_its_item_is_refused_without_a_panic() {
    let mut bench = Bench::new();
    bench.set("centre", "advice", 0, row(1));
    let Publication::Delta(mut delta) = bench.table.publication_since(Revision(0)) else {
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
fn a_published_snapshot_survives_its_encoding() {
    let mut bench = Bench::new();
    bench.set("centre", "advice", 0, row(1));
    let bytes = postcard::to_allocvec(&bench.table.items_snapshot()).unwrap();
    let decoded = postcard::from_bytes(&bytes).unwrap();
    let mut view = View::default();
    view.apply(Publication::Snapshot(decoded));
    assert!(view.items() == bench.table.items());
}

#[test]
fn a_subscriber_far_behind_gets_a_snapshot() {
    let mut bench = Bench::new();
    let batch = 8_192;
    let mut revisions = vec![Revision::ABSENT; batch];
    for round in 0..=HISTORY_CHANGES_MAX / batch {
        let change = |(n, revision): (usize, &Revision)| {
            ItemChange::row(key(&format!("c{n}"), "advice"), *revision, Some(row(1)))
        };
        let changes = revisions.iter().enumerate().map(change).collect();
        bench.apply(&edit(&format!("round-{round}"), changes));
        revisions.fill(bench.table.revision());
    }
    let behind = bench.table.publication_since(Revision(1));
    assert!(matches!(behind, Publication::Snapshot(_)));
    let near = bench.table.publication_since(Revision(bench.index - 1));
    assert!(matches!(near, Publication::Delta(_)));
}

#[test]
fn a_view_behind_a_relay_ends_equal_to_the_table() {
    fn property(steps: Vec<Step>) -> bool {
        let mut bench = Bench::new();
        let mut relay = ViewPublisher::default();
        let mut view = View::default();
        for step in steps {
            match step {
                Step::Deliver(_) => {
                    if let Some(publication) = relay.publication_since(view.revision()) {
                        assert_eq!(view.apply(publication), ViewOutcome::Applied);
                    }
                    assert_eq!(view.revision(), relay.revision());
                    assert_eq!(view.items(), relay.items());
                }
                Step::Edit(customer, kind, weight) => change(&mut bench, customer, kind, weight),
                Step::Publish => {
                    relay.apply(bench.table.publication_since(relay.revision()));
                }
            }
        }
        relay.apply(bench.table.publication_since(relay.revision()));
        let last = relay.publication_since(view.revision());
        last.map(|publication| view.apply(publication));
        view.items() == bench.table.items() && relay.publication_since(view.revision()).is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 13))
        .tests(100)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_relay_that_began_with_a_snapshot_sends_snapshots_to_those_behind_it() {
    let mut bench = Bench::new();
    bench.set("centre", "advice", 0, row(1));
    let mut relay = ViewPublisher::default();
    relay.apply(Publication::Snapshot(bench.table.items_snapshot()));
    let sent = relay.publication_since(Revision(1));
    assert!(matches!(sent, Some(Publication::Snapshot(_))));
    bench.set("centre", "syllabus", 0, row(1));
    relay.apply(bench.table.publication_since(relay.revision()));
    let sent = relay.publication_since(Revision(2));
    assert!(matches!(sent, Some(Publication::Delta(_))));
}
