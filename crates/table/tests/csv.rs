//! Export and import of CSV files, and the diff between the table and an edited file.

mod common;

use common::{KINDS, TableHarness, accepted, edit, key, row, time, window};
use names::ModelName;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use table::{
    Column, Diff, DiffConflict, ItemChange, ProposedRow, Revision, Row, read_csv, write_csv,
};

const CUSTOMERS: [&str; 5] = [
    "Национален център",
    "-2-1",
    "Maracas Ridge",
    "ковач.1",
    "a_b",
];

/// Index into `CUSTOMERS`, index into `KINDS`, and the row's content.
#[derive(Clone, Debug)]
struct ArbitraryRow(u8, u8, Row);

impl Arbitrary for ArbitraryRow {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut any = row(1 + u32::arbitrary(g) % 1_000_000);
        any.priority = i32::arbitrary(g) % 1_001;
        any.tokens_per_second_max = bool::arbitrary(g).then(|| 1 + u32::arbitrary(g) % 10_000_000);
        any.urgent_share_percent = u8::arbitrary(g) % 101;
        if bool::arbitrary(g) {
            any.models = ["-x", "Модел 7", "forge-7b"]
                .map(|model| ModelName::new(model).unwrap())
                .into();
            any.models.sort_unstable();
        }
        any.window = bool::arbitrary(g).then(|| {
            let start = time(u8::arbitrary(g) % 12, u8::arbitrary(g) % 60);
            window(start, time(13, 5), "Europe/Sofia")
        });
        Self(u8::arbitrary(g) % 5, u8::arbitrary(g) % 3, any)
    }
}

fn harness_with_rows(rows: Vec<ArbitraryRow>) -> TableHarness {
    let mut harness = TableHarness::new();
    for ArbitraryRow(customer, kind, row) in rows {
        let key = key(CUSTOMERS[usize::from(customer)], KINDS[usize::from(kind)]);
        let expected = harness.table.items().row(&key).map_or(0, |(_, r)| r.0);
        let change = ItemChange::row(key, Revision(expected), Some(row));
        let id = format!("fill-{}", harness.index);
        let index = harness.index + 1;
        assert_eq!(harness.apply(&edit(&id, vec![change])), accepted(index));
    }
    harness
}

fn export(harness: &TableHarness) -> String {
    write_csv(harness.table.items(), harness.table.revision())
}

fn read(text: &str) -> Vec<ProposedRow> {
    read_csv(text).unwrap().unwrap()
}

#[test]
fn an_unedited_export_changes_nothing_with_either_separator() {
    fn property(rows: Vec<ArbitraryRow>) -> bool {
        let harness = harness_with_rows(rows);
        let text = export(&harness);
        let semicolons = format!("\u{feff}{}", text.replace(',', ";"));
        [text, semicolons].iter().all(|text| {
            let proposed = read(text);
            let is_same =
                |line: &ProposedRow| harness.table.items().row(&line.key).unwrap().0 == &line.row;
            proposed.len() == harness.table.items().rows().count()
                && proposed.iter().all(is_same)
                && Diff::between(harness.table.items(), &proposed) == Diff::default()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(200)
        .quickcheck(property as fn(Vec<ArbitraryRow>) -> bool);
}

#[test]
fn cells_that_look_like_formulas_are_escaped() {
    let harness = harness_with_rows(vec![ArbitraryRow(1, 0, row(1))]);
    let text = export(&harness);
    let line = text.lines().nth(1).unwrap();
    assert!(line.starts_with("'-2-1,"), "{line}");
}

#[test]
fn problems_of_cells_have_line_column_and_reason() {
    let harness = harness_with_rows(vec![ArbitraryRow(0, 0, row(5)), ArbitraryRow(2, 1, row(6))]);
    let text = export(&harness).replace(",5,0,4,", ",-5,many,4,");
    let problems = read_csv(&text).unwrap().unwrap_err();
    let found: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(problems[0].column, Column::Priority);
    assert_eq!(
        found,
        [
            "row line 3, column priority: `many` is not a whole number",
            "row line 3, column weight: -5 is not from 1 to 1000000",
        ]
    );
}

#[test]
fn malformed_files_are_refused_without_a_panic() {
    let header = export(&TableHarness::new());
    let hostile = [
        "",
        "\u{0}",
        "customer,customer",
        "=1+1\n",
        "customer;kind\n\"",
        &header.replace("weight", "wieght"),
    ];
    for text in hostile {
        assert!(read_csv(text).is_err(), "{text:?}");
    }
    let ragged = format!("{header}a,b,c\n");
    assert!(read_csv(&ragged).is_err());
    let long_name = format!("{header}{},advice{}\n", "x".repeat(500), ",".repeat(14));
    assert!(read_csv(&long_name).unwrap().is_err());
}

#[test]
fn a_diff_shows_and_applies_additions_changes_and_removals() {
    let mut harness =
        harness_with_rows(vec![ArbitraryRow(2, 0, row(5)), ArbitraryRow(4, 0, row(5))]);
    let text = export(&harness);
    let mut proposed = read(&text);
    proposed.retain(|line| line.key != key("a_b", "syllabus"));
    proposed[0].row.weight = 9;
    proposed.push(ProposedRow {
        base: None,
        key: key("нов", "advice"),
        line: 4,
        row: row(2),
    });
    let diff = Diff::between(harness.table.items(), &proposed);
    let shown = diff.to_string();
    assert!(
        shown.contains("~ Maracas Ridge/syllabus: weight 5→9\n"),
        "{shown}"
    );
    assert!(shown.contains("- a_b/syllabus: weight 5"), "{shown}");
    assert!(
        shown.ends_with("1 added, 1 changed, 1 removed, 0 in conflict\n"),
        "{shown}"
    );
    assert_eq!(harness.apply(&edit("apply", diff.changes())), accepted(4));
    let keys: Vec<_> = harness
        .table
        .items()
        .rows()
        .map(|(key, ..)| key.to_string())
        .collect();
    assert_eq!(keys, ["Maracas Ridge/syllabus", "нов/advice"]);
}

#[test]
fn a_stale_file_neither_overwrites_nor_removes_rows_changed_since() {
    let mut harness =
        harness_with_rows(vec![ArbitraryRow(2, 0, row(5)), ArbitraryRow(4, 0, row(5))]);
    let mut proposed = read(&export(&harness));
    harness.set_row("Maracas Ridge", "syllabus", 2, row(7));
    harness.set_row("later", "syllabus", 0, row(8));
    let remove = ItemChange::row(key("a_b", "syllabus"), Revision(3), None);
    harness.apply(&edit("remove", vec![remove]));
    let unedited = Diff::between(harness.table.items(), &proposed);
    assert_eq!(unedited, Diff::default());
    proposed[0].row.weight = 6;
    proposed[1].row.weight = 6;
    let edited = Diff::between(harness.table.items(), &proposed);
    assert_eq!(edited.rows, []);
    assert_eq!(
        edited.conflicts,
        [
            DiffConflict::Changed {
                key: key("Maracas Ridge", "syllabus"),
                revision: Revision(4)
            },
            DiffConflict::Missing {
                key: key("a_b", "syllabus")
            },
        ]
    );
}

#[test]
fn an_edited_line_is_applied_after_changes_of_other_rows() {
    let mut harness =
        harness_with_rows(vec![ArbitraryRow(2, 0, row(5)), ArbitraryRow(4, 0, row(5))]);
    let mut proposed = read(&export(&harness));
    proposed[0].row.weight = 6;
    harness.set_row("a_b", "syllabus", 3, row(7));
    let diff = Diff::between(harness.table.items(), &proposed);
    assert_eq!(harness.apply(&edit("apply", diff.changes())), accepted(5));
    let weights: Vec<_> = harness
        .table
        .items()
        .rows()
        .map(|(.., row)| row.weight)
        .collect();
    assert_eq!(weights, [6, 7]);
}

#[test]
fn a_copied_line_needs_an_empty_base() {
    let harness = harness_with_rows(vec![ArbitraryRow(2, 0, row(5))]);
    let mut proposed = read(&export(&harness));
    let mut copy = proposed[0].clone();
    copy.key = key("copy", "syllabus");
    proposed.push(copy);
    let diff = Diff::between(harness.table.items(), &proposed);
    let missing = key("copy", "syllabus");
    assert_eq!(diff.conflicts, [DiffConflict::Missing { key: missing }]);
    proposed[1].base = None;
    let diff = Diff::between(harness.table.items(), &proposed);
    assert_eq!((diff.conflicts.len(), diff.rows.len()), (0, 1));
}

#[test]
fn two_lines_for_one_row_are_a_conflict() {
    let harness = harness_with_rows(vec![ArbitraryRow(2, 0, row(5))]);
    let mut proposed = read(&export(&harness));
    proposed.push(proposed[0].clone());
    let diff = Diff::between(harness.table.items(), &proposed);
    let key = key("Maracas Ridge", "syllabus");
    assert_eq!(diff.conflicts, [DiffConflict::Duplicate { key }]);
}
