//! Edits compared with a reference model; conflicts, resent edits, limits and snapshots.

mod common;

use std::collections::HashMap;

use common::{KINDS, TableHarness, accepted, edit, key, row};
use names::{KindName, ModelName};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use table::{
    ACCEPTED_RETENTION_MS, CHANGES_PER_EDIT_MAX, Column, Edit, EditOutcome, Item, ItemChange,
    ItemId, ProblemReason, REFUSED_OUTCOMES_BYTES_MAX, REFUSED_RETENTION_MS, Revision,
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

/// Reference model of the table in its simplest form.
#[derive(Default)]
struct ReferenceTable {
    rows: HashMap<(String, String), (u64, Option<u32>)>,
    stored_outcomes: Vec<(u64, Edit, EditOutcome)>,
}

impl ReferenceTable {
    /// Expected outcome of an edit; `None` if a new edit must be refused.
    fn apply(&mut self, index: u64, at_ms: u64, edit: &Edit) -> Option<EditOutcome> {
        self.stored_outcomes
            .retain(|(stored_ms, _, outcome)| at_ms < stored_ms + retention_ms(outcome));
        if let Some((_, first, outcome)) = self
            .stored_outcomes
            .iter()
            .find(|(_, first, _)| first.edit_id == edit.edit_id)
        {
            let is_same = first == edit;
            return Some(if is_same {
                outcome.clone()
            } else {
                EditOutcome::IdReused
            });
        }
        if !self.accepts(edit) {
            return None;
        }
        for change in &edit.changes {
            let (name, weight) = row_name_and_weight(change);
            self.rows.insert(name, (index, weight));
        }
        Some(accepted(index))
    }

    fn accepts(&self, edit: &Edit) -> bool {
        let mut names: Vec<_> = edit
            .changes
            .iter()
            .map(|change| row_name_and_weight(change).0)
            .collect();
        names.sort();
        names.dedup();
        names.len() == edit.changes.len()
            && edit.changes.iter().all(|change| {
                let (name, weight) = row_name_and_weight(change);
                let current = self.rows.get(&name).filter(|(_, weight)| weight.is_some());
                let revision = current.map_or(0, |(revision, _)| *revision);
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

fn row_name_and_weight(change: &ItemChange) -> ((String, String), Option<u32>) {
    let ItemId::Row(key) = &change.item_id else {
        panic!("the test edits only rows")
    };
    let weight = match &change.item {
        Some(Item::Row(row)) => Some(row.weight),
        _ => None,
    };
    ((key.customer.to_string(), key.kind.to_string()), weight)
}

fn build_edit(table: &Table, id: u8, changes: &[(u8, u8, u8, Option<u32>)]) -> Edit {
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

fn run_steps(steps: &[Step], restores_snapshots: bool) -> (TableHarness, Vec<EditOutcome>) {
    let mut harness = TableHarness::new();
    let mut reference = ReferenceTable::default();
    let mut sent_edits: Vec<Edit> = Vec::new();
    let mut outcomes = Vec::new();
    for step in steps {
        let edit = match step {
            Step::Edit { changes, id } => build_edit(&harness.table, *id, changes),
            Step::Resend(n) if !sent_edits.is_empty() => {
                sent_edits[usize::from(*n) % sent_edits.len()].clone()
            }
            Step::SnapshotAndRestore if restores_snapshots => {
                harness.table = Table::restore(&harness.table.snapshot()).unwrap();
                continue;
            }
            Step::Wait(ms) => {
                harness.advance_time(u64::from(*ms));
                continue;
            }
            Step::Resend(_) | Step::SnapshotAndRestore => continue,
        };
        let outcome = harness.apply(&edit);
        let expected = reference.apply(harness.index, harness.at_ms, &edit);
        if let Some(expected) = expected {
            assert_eq!(outcome, expected);
        } else {
            assert!(matches!(
                outcome,
                EditOutcome::Conflict { .. } | EditOutcome::Invalid { .. }
            ));
            reference
                .stored_outcomes
                .push((harness.at_ms, edit.clone(), outcome.clone()));
        }
        if matches!(outcome, EditOutcome::Accepted { revision } if revision.0 == harness.index) {
            reference
                .stored_outcomes
                .push((harness.at_ms, edit.clone(), outcome.clone()));
        }
        let rows = reference
            .rows
            .values()
            .filter(|(_, weight)| weight.is_some());
        assert_eq!(harness.table.items().rows().count(), rows.count());
        for (key, revision, row) in harness.table.items().rows() {
            let name = (key.customer.to_string(), key.kind.to_string());
            assert_eq!(reference.rows[&name], (revision.0, Some(row.weight)));
        }
        sent_edits.push(edit);
        outcomes.push(outcome);
    }
    (harness, outcomes)
}

#[test]
fn the_table_matches_a_reference_model_with_and_without_snapshots() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn property(steps: Vec<Step>) -> bool {
        let (restored, restored_outcomes) = run_steps(&steps, true);
        let (plain, plain_outcomes) = run_steps(&steps, false);
        restored.table == plain.table && restored_outcomes == plain_outcomes
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, 4))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn of_two_edits_with_equal_expected_revisions_exactly_one_is_accepted() {
    let mut harness = TableHarness::new();
    assert_eq!(harness.set_row("centre", "advice", 0, row(1)), accepted(2));
    assert_eq!(harness.set_row("centre", "advice", 2, row(2)), accepted(3));
    let EditOutcome::Conflict { current } = harness.set_row("centre", "advice", 2, row(3)) else {
        panic!("the second edit must conflict");
    };
    assert_eq!(current[0].revision, Revision(3));
    assert_eq!(current[0].item, Some(Item::Row(row(2))));
}

#[test]
fn a_resent_edit_gets_its_stored_outcome_until_the_retention_ends() {
    let mut harness = TableHarness::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let edit = edit("first", vec![change]);
    assert_eq!(harness.apply(&edit), accepted(2));
    harness.advance_time(ACCEPTED_RETENTION_MS - 1);
    harness.table = Table::restore(&harness.table.snapshot()).unwrap();
    assert_eq!(harness.apply(&edit), accepted(2));
    harness.advance_time(1);
    assert!(matches!(harness.apply(&edit), EditOutcome::Conflict { .. }));
}

#[test]
fn an_edit_recomputed_from_the_same_file_gets_its_stored_outcome() {
    let mut harness = TableHarness::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let mut first = edit("file", vec![change]);
    first.source = Some(SourceDigest::of(b"file"));
    assert_eq!(harness.apply(&first), accepted(2));
    let mut recomputed = first.clone();
    recomputed.changes.clear();
    assert_eq!(harness.table.stored_outcome(&recomputed), Some(accepted(2)));
    assert_eq!(harness.apply(&recomputed), accepted(2));
    recomputed.source = Some(SourceDigest::of(b"other file"));
    assert_eq!(harness.apply(&recomputed), EditOutcome::IdReused);
}

#[test]
fn clock_jumps_neither_end_the_retention_nor_stop_time() {
    let mut harness = TableHarness::new();
    let change = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let edit = edit("first", vec![change]);
    assert_eq!(harness.apply(&edit), accepted(2));
    let before_ms = harness.at_ms;
    for wrong_ms in [u64::MAX, 0, before_ms + 9 * ACCEPTED_RETENTION_MS] {
        harness.at_ms = wrong_ms;
        assert_eq!(
            harness.apply(&edit),
            accepted(2),
            "after a jump to {wrong_ms}"
        );
    }
    harness.at_ms = before_ms;
    assert_eq!(harness.apply(&edit), accepted(2));
    harness.advance_time(ACCEPTED_RETENTION_MS);
    assert!(matches!(harness.apply(&edit), EditOutcome::Conflict { .. }));
}

#[test]
fn an_edit_with_one_invalid_row_changes_nothing() {
    let mut harness = TableHarness::new();
    let valid = ItemChange::row(key("centre", "advice"), Revision::ABSENT, Some(row(1)));
    let invalid = ItemChange::row(key("centre", "unknown"), Revision::ABSENT, Some(row(0)));
    let EditOutcome::Invalid { problems } = harness.apply(&edit("batch", vec![valid, invalid]))
    else {
        panic!("the edit must be refused");
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
    assert_eq!(harness.table.items().rows().count(), 0);
}

#[test]
fn contradictory_limits_are_reported_with_both_columns() {
    let mut harness = TableHarness::new();
    let mut invalid = row(1);
    invalid.running_max = 0;
    invalid.queueing_ms_max = 0;
    let EditOutcome::Invalid { problems } = harness.set_row("centre", "advice", 0, invalid) else {
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
fn refused_edits_at_their_limit_do_not_block_other_edits() {
    let mut harness = TableHarness::new();
    let mut long = row(1);
    let model = |n| ModelName::new(&format!("{n:0128}")).unwrap();
    long.models = (0..64).map(model).collect();
    let change = |n: u32, expected| {
        let key = key(&format!("c{n}"), "advice");
        ItemChange::row(key, Revision(expected), Some(long.clone()))
    };
    let batch = |id: &str, expected| edit(id, (0..100).map(|n| change(n, expected)).collect());
    assert_eq!(harness.apply(&batch("first", 0)), accepted(2));
    let mut refused = 0;
    let retry_after_ms = loop {
        match harness.apply(&batch(&format!("refused-{refused}"), 9)) {
            EditOutcome::Busy { retry_after_ms } => break retry_after_ms,
            EditOutcome::Conflict { current } => assert_eq!(current.len(), 100),
            outcome => panic!("{outcome:?}"),
        }
        refused += 1;
    };
    assert!(
        refused >= REFUSED_OUTCOMES_BYTES_MAX / (100 * 65 * 130),
        "{refused}"
    );
    assert_eq!(retry_after_ms, REFUSED_RETENTION_MS);
    let index = harness.index + 1;
    assert_eq!(
        harness.set_row("other", "advice", 0, row(1)),
        accepted(index)
    );
    harness.advance_time(retry_after_ms);
    let outcome = harness.apply(&batch("later", 9));
    assert!(matches!(outcome, EditOutcome::Conflict { .. }));
}

#[test]
fn an_edit_with_too_many_changes_is_refused() {
    let mut harness = TableHarness::new();
    let changes = (0..=CHANGES_PER_EDIT_MAX)
        .map(|n| {
            ItemChange::row(
                key(&format!("c{n}"), "advice"),
                Revision::ABSENT,
                Some(row(1)),
            )
        })
        .collect();
    let EditOutcome::Invalid { problems } = harness.apply(&edit("large", changes)) else {
        panic!("the edit must be refused");
    };
    assert!(matches!(problems[0].reason, ProblemReason::TooMany { .. }));
}

#[test]
fn a_kind_with_rows_cannot_be_removed() {
    let mut harness = TableHarness::new();
    assert_eq!(harness.set_row("centre", "advice", 0, row(1)), accepted(2));
    let remove_kind = ItemChange {
        expected_revision: Revision(1),
        item: None,
        item_id: ItemId::Kind(KindName::new("advice").unwrap()),
    };
    let outcome = harness.apply(&edit("kind", vec![remove_kind.clone()]));
    assert!(matches!(outcome, EditOutcome::Invalid { .. }));
    let remove_row = ItemChange::row(key("centre", "advice"), Revision(2), None);
    let outcome = harness.apply(&edit("both", vec![remove_kind, remove_row]));
    assert_eq!(outcome, accepted(4));
}

#[test]
fn the_history_records_time_author_and_changed_items() {
    let mut harness = TableHarness::new();
    harness.at_ms = 5_000;
    harness.set_row("centre", "advice", 0, row(1));
    let newest = harness.table.history().next().unwrap();
    assert_eq!((newest.timestamp_ms, newest.revision), (5_000, Revision(2)));
    assert_eq!(newest.author.as_str(), "мария");
    assert_eq!(newest.item_ids, [ItemId::Row(key("centre", "advice"))]);
}

#[test]
fn mutated_snapshots_restore_or_fail_without_a_panic() {
    fn property(mutations: Vec<(usize, u8)>, length: usize) -> bool {
        let mut harness = TableHarness::new();
        harness.set_row("centre", "advice", 0, row(1));
        let mut bytes = harness.table.snapshot();
        for (position, value) in mutations {
            let position = position % bytes.len();
            bytes[position] = value;
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
fn empty_truncated_and_unknown_snapshots_are_refused() {
    let snapshot = TableHarness::new().table.snapshot();
    assert!(Table::restore(&[]).is_err());
    assert!(Table::restore(&snapshot[..snapshot.len() - 1]).is_err());
    let mut other_format = snapshot;
    other_format[0] = 9;
    let error = Table::restore(&other_format).unwrap_err().to_string();
    assert!(error.contains("format 9"), "{error}");
}
