//! Edits against a naive table, races, resent ids and snapshots.

mod common;

use std::collections::HashMap;

use common::{Bench, KINDS, accepted, edit, key, row};
use names::{KindName, ModelName};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use table::{
    ACCEPTED_RETENTION_MS, ANSWERS_REFUSED_BYTES_MAX, CHANGES_PER_EDIT_MAX, Column, Edit,
    EditOutcome, Item, ItemChange, ItemId, ProblemReason, REFUSED_RETENTION_MS, Revision,
    SourceDigest, Table,
};

#[derive(Clone, Debug)]
enum Step {
    Edit {
        changes: Vec<(u8, u8, u8, Option<u32>)>,
        id: u8,
    },
    Resend(u8),
    SnapshotAndRestore,
    Wait(u32),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let change = |g: &mut Gen| {
            let weight = (u8::arbitrary(g) % 4 != 0).then(|| u32::from(u8::arbitrary(g) % 5));
            let customer = u8::arbitrary(g) % 3;
            (customer, u8::arbitrary(g) % 4, u8::arbitrary(g), weight)
        };
        match u8::arbitrary(g) % 10 {
            0 => Self::SnapshotAndRestore,
            1 => Self::Wait(u32::arbitrary(g) % 9_000_000),
            2 | 3 => Self::Resend(u8::arbitrary(g)),
            _ => Self::Edit {
                changes: (0..=u8::arbitrary(g) % 3).map(|_| change(g)).collect(),
                id: u8::arbitrary(g) % 40,
            },
        }
    }
}

/// The plainest table that keeps the rules.
#[derive(Default)]
struct Naive {
    answers: Vec<(u64, Edit, EditOutcome)>,
    rows: HashMap<(String, String), (u64, Option<u32>)>,
}

impl Naive {
    fn apply(&mut self, index: u64, at_ms: u64, edit: &Edit) -> Option<EditOutcome> {
        self.answers
            .retain(|(then_ms, _, outcome)| at_ms < then_ms + retention_ms(outcome));
        if let Some((_, first, outcome)) = self.answers.iter().find(|a| a.1.edit_id == edit.edit_id)
        {
            let is_same = first == edit;
            return Some(if is_same {
                outcome.clone()
            } else {
                EditOutcome::IdReused
            });
        }
        if !self.is_accepted(edit) {
            return None;
        }
        for change in &edit.changes {
            let (name, weight) = flat(change);
            self.rows.insert(name, (index, weight));
        }
        Some(accepted(index))
    }

    fn is_accepted(&self, edit: &Edit) -> bool {
        let mut names: Vec<_> = edit.changes.iter().map(|change| flat(change).0).collect();
        names.sort();
        names.dedup();
        names.len() == edit.changes.len()
            && edit.changes.iter().all(|change| {
                let (name, weight) = flat(change);
                let held = self.rows.get(&name).filter(|(_, weight)| weight.is_some());
                let revision = held.map_or(0, |(revision, _)| *revision);
                let is_kind_known = weight.is_none() || KINDS.contains(&name.1.as_str());
                is_kind_known && weight != Some(0) && change.expected_revision.0 == revision
            })
    }
}

fn retention_ms(outcome: &EditOutcome) -> u64 {
    match outcome {
        EditOutcome::Accepted { .. } => ACCEPTED_RETENTION_MS,
        _ => REFUSED_RETENTION_MS,
    }
}

fn flat(change: &ItemChange) -> ((String, String), Option<u32>) {
    let ItemId::Row(key) = &change.item_id else {
        panic!("only rows are edited here")
    };
    let weight = match &change.item {
        Some(Item::Row(row)) => Some(row.weight),
        _ => None,
    };
    ((key.customer.to_string(), key.kind.to_string()), weight)
}

fn build(table: &Table, id: u8, changes: &[(u8, u8, u8, Option<u32>)]) -> Edit {
    let kinds = [KINDS[0], KINDS[1], KINDS[2], "unknown"];
    let changes = changes.iter().map(|&(customer, kind, expected, weight)| {
        let key = key(&format!("клиент {customer}"), kinds[usize::from(kind)]);
        let current = table
            .items()
            .row(&key)
            .map_or(0, |(_, revision)| revision.0);
        let expected = if expected < 200 {
            current
        } else {
            u64::from(expected) % 16
        };
        ItemChange::row(key, Revision(expected), weight.map(row))
    });
    edit(&format!("id-{id}"), changes.collect())
}

fn run(steps: &[Step], is_restoring: bool) -> (Bench, Vec<EditOutcome>) {
    let mut bench = Bench::new();
    let mut naive = Naive::default();
    let mut sent: Vec<Edit> = Vec::new();
    let mut outcomes = Vec::new();
    for step in steps {
        let edit = match step {
            Step::Edit { changes, id } => build(&bench.table, *id, changes),
            Step::Resend(n) if !sent.is_empty() => sent[usize::from(*n) % sent.len()].clone(),
            Step::SnapshotAndRestore if is_restoring => {
                bench.table = Table::restore(&bench.table.snapshot()).unwrap();
                continue;
            }
            Step::Wait(ms) => {
                bench.wait(u64::from(*ms));
                continue;
            }
            Step::Resend(_) | Step::SnapshotAndRestore => continue,
        };
        let outcome = bench.apply(&edit);
        let expected = naive.apply(bench.index, bench.at_ms, &edit);
        if let Some(expected) = expected {
            assert_eq!(outcome, expected);
        } else {
            assert!(matches!(
                outcome,
                EditOutcome::Conflict { .. } | EditOutcome::Invalid { .. }
            ));
            naive
                .answers
                .push((bench.at_ms, edit.clone(), outcome.clone()));
        }
        if matches!(outcome, EditOutcome::Accepted { revision } if revision.0 == bench.index) {
            naive
                .answers
                .push((bench.at_ms, edit.clone(), outcome.clone()));
        }
        let rows = naive.rows.values().filter(|(_, weight)| weight.is_some());
        assert_eq!(bench.table.items().rows().count(), rows.count());
        for (key, revision, row) in bench.table.items().rows() {
            let name = (key.customer.to_string(), key.kind.to_string());
            assert_eq!(naive.rows[&name], (revision.0, Some(row.weight)));
        }
        sent.push(edit);
        outcomes.push(outcome);
    }
    (bench, outcomes)
}

#[test]
fn the_table_agrees_with_a_naive_one_also_across_snapshots() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn property(steps: Vec<Step>) -> bool {
        let (restored, restored_outcomes) = run(&steps, true);
        let (plain, plain_outcomes) = run(&steps, false);
        restored.table == plain.table && restored_outcomes == plain_outcomes
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, 4))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn of_two_edits_with_equal_revisions_exactly_one_is_accepted() {
    let mut bench = Bench::new();
    assert_eq!(bench.set("centre", "advice", 0, row(1)), accepted(2));
    assert_eq!(bench.set("centre", "advice", 2, row(2)), accepted(3));
    let EditOutcome::Conflict { current } = bench.set("centre", "advice", 2, row(3)) else {
        panic!("the second edit must lose");
    };
    assert_eq!(current[0].revision, Revision(3));
    assert_eq!(current[0].item, Some(Item::Row(row(2))));
}

#[test]
fn a_resent_edit_gets_its_first_answer_until_the_retention_ends() {
    let mut bench = Bench::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let edit = edit("first", vec![change]);
    assert_eq!(bench.apply(&edit), accepted(2));
    bench.wait(ACCEPTED_RETENTION_MS - 1);
    bench.table = Table::restore(&bench.table.snapshot()).unwrap();
    assert_eq!(bench.apply(&edit), accepted(2));
    bench.wait(1);
    assert!(matches!(bench.apply(&edit), EditOutcome::Conflict { .. }));
}

#[test]
fn an_edit_worked_out_again_from_the_same_file_gets_its_first_answer() {
    let mut bench = Bench::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let mut first = edit("file", vec![change]);
    first.source = Some(SourceDigest::of(b"file"));
    assert_eq!(bench.apply(&first), accepted(2));
    let mut again = first.clone();
    again.changes.clear();
    assert_eq!(bench.table.stored_outcome(&again), Some(accepted(2)));
    assert_eq!(bench.apply(&again), accepted(2));
    again.source = Some(SourceDigest::of(b"other file"));
    assert_eq!(bench.apply(&again), EditOutcome::IdReused);
}

#[test]
fn a_clock_that_jumps_does_not_end_the_retention_or_stop_time() {
    let mut bench = Bench::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let edit = edit("first", vec![change]);
    assert_eq!(bench.apply(&edit), accepted(2));
    let before_ms = bench.at_ms;
    for wrong_ms in [u64::MAX, 0, before_ms + 9 * ACCEPTED_RETENTION_MS] {
        bench.at_ms = wrong_ms;
        assert_eq!(
            bench.apply(&edit),
            accepted(2),
            "after a jump to {wrong_ms}"
        );
    }
    bench.at_ms = before_ms;
    assert_eq!(bench.apply(&edit), accepted(2));
    bench.wait(ACCEPTED_RETENTION_MS);
    assert!(matches!(bench.apply(&edit), EditOutcome::Conflict { .. }));
}

#[test]
fn a_batch_with_one_bad_row_changes_nothing() {
    let mut bench = Bench::new();
    let good = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let bad = ItemChange::row(key("centre", "unknown"), Revision::ABSENT, Some(row(0)));
    let EditOutcome::Invalid { problems } = bench.apply(&edit("batch", vec![good, bad])) else {
        panic!("the batch must be refused");
    };
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.row.as_str(), p.column))
        .collect();
    assert_eq!(
        found,
        [
            ("centre/unknown", Column::Weight),
            ("centre/unknown", Column::Kind)
        ]
    );
    assert_eq!(bench.table.items().rows().count(), 0);
}

#[test]
fn contradicting_limits_are_named_by_column() {
    let mut bench = Bench::new();
    let mut bad = row(1);
    bad.running_max = 0;
    bad.queueing_ms_max = 0;
    let EditOutcome::Invalid { problems } = bench.set("centre", "advice", 0, bad) else {
        panic!("the row must be refused");
    };
    let columns: Vec<_> = problems
        .iter()
        .map(|problem| match &problem.reason {
            ProblemReason::Contradiction { other, .. } => (problem.column, *other),
            reason => panic!("{reason}"),
        })
        .collect();
    assert_eq!(
        columns,
        [
            (Column::QueuedMax, Column::RunningMax),
            (Column::QueuedMax, Column::QueueingMsMax)
        ]
    );
}

#[test]
fn refused_edits_that_fill_their_bound_do_not_keep_others_from_editing() {
    let mut bench = Bench::new();
    let mut long = row(1);
    let model = |n| ModelName::new(&format!("{n:0128}")).unwrap();
    long.models = (0..64).map(model).collect();
    let change = |n: u32, expected| {
        let key = key(&format!("c{n}"), "advice");
        ItemChange::row(key, Revision(expected), Some(long.clone()))
    };
    let batch = |id: &str, expected| edit(id, (0..100).map(|n| change(n, expected)).collect());
    assert_eq!(bench.apply(&batch("first", 0)), accepted(2));
    let mut refused = 0;
    let retry_after_ms = loop {
        match bench.apply(&batch(&format!("refused-{refused}"), 9)) {
            EditOutcome::Busy { retry_after_ms } => break retry_after_ms,
            EditOutcome::Conflict { current } => assert_eq!(current.len(), 100),
            outcome => panic!("{outcome:?}"),
        }
        refused += 1;
    };
    assert!(
        refused >= ANSWERS_REFUSED_BYTES_MAX / (100 * 65 * 130),
        "{refused}"
    );
    assert_eq!(retry_after_ms, REFUSED_RETENTION_MS);
    let index = bench.index + 1;
    assert_eq!(bench.set("other", "advice", 0, row(1)), accepted(index));
    bench.wait(retry_after_ms);
    let outcome = bench.apply(&batch("later", 9));
    assert!(matches!(outcome, EditOutcome::Conflict { .. }));
}

#[test]
fn an_edit_beyond_the_size_bounds_is_refused() {
    let mut bench = Bench::new();
    let changes = (0..=CHANGES_PER_EDIT_MAX)
        .map(|n| {
            ItemChange::row(
                key(&format!("c{n}"), "advice"),
                Revision::ABSENT,
                Some(row(1)),
            )
        })
        .collect();
    let EditOutcome::Invalid { problems } = bench.apply(&edit("large", changes)) else {
        panic!("the edit must be refused");
    };
    assert!(matches!(problems[0].reason, ProblemReason::TooMany { .. }));
}

#[test]
fn a_kind_with_rows_cannot_be_removed() {
    let mut bench = Bench::new();
    assert_eq!(bench.set("centre", "advice", 0, row(1)), accepted(2));
    let remove_kind = ItemChange {
        expected_revision: Revision(1),
        item: None,
        item_id: ItemId::Kind(KindName::new("advice").unwrap()),
    };
    let outcome = bench.apply(&edit("kind", vec![remove_kind.clone()]));
    assert!(matches!(outcome, EditOutcome::Invalid { .. }));
    let remove_row = ItemChange::row(key("centre", "advice"), Revision(2), None);
    let outcome = bench.apply(&edit("both", vec![remove_kind, remove_row]));
    assert_eq!(outcome, accepted(4));
}

#[test]
fn history_says_who_when_and_what() {
    let mut bench = Bench::new();
    bench.at_ms = 5_000;
    bench.set("centre", "advice", 0, row(1));
    let newest = bench.table.history().next().unwrap();
    assert_eq!((newest.at_ms, newest.revision), (5_000, Revision(2)));
    assert_eq!(newest.author.as_str(), "мария");
    assert_eq!(newest.item_ids, [ItemId::Row(key("centre", "advice"))]);
}

#[test]
fn mutated_snapshots_decode_or_are_refused_without_a_panic() {
    fn property(places: Vec<(usize, u8)>, length: usize) -> bool {
        let mut bench = Bench::new();
        bench.set("centre", "advice", 0, row(1));
        let mut bytes = bench.table.snapshot();
        for (place, value) in places {
            let place = place % bytes.len();
            bytes[place] = value;
        }
        bytes.truncate(1 + length % bytes.len());
        let _ = Table::restore(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 17))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(usize, u8)>, usize) -> bool);
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let snapshot = Bench::new().table.snapshot();
    assert!(Table::restore(&[]).is_err());
    assert!(Table::restore(&snapshot[..snapshot.len() - 1]).is_err());
    let mut other_format = snapshot;
    other_format[0] = 9;
    let error = Table::restore(&other_format).unwrap_err().to_string();
    assert!(error.contains("format 9"), "{error}");
}
