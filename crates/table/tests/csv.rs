//! The table as CSV both ways, and the difference that a file makes.

mod common;

use common::{Bench, KINDS, accepted, edit, key, row, time, window};
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

#[derive(Clone, Debug)]
struct AnyRow(u8, u8, Row);

impl Arbitrary for AnyRow {
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

fn fill(rows: Vec<AnyRow>) -> Bench {
    let mut bench = Bench::new();
    for AnyRow(customer, kind, row) in rows {
        let key = key(CUSTOMERS[usize::from(customer)], KINDS[usize::from(kind)]);
        let expected = bench.table.items().row(&key).map_or(0, |(_, r)| r.0);
        let change = ItemChange::row(key, Revision(expected), Some(row));
        let id = format!("fill-{}", bench.index);
        let index = bench.index + 1;
        assert_eq!(bench.apply(&edit(&id, vec![change])), accepted(index));
    }
    bench
}

fn export(bench: &Bench) -> String {
    write_csv(bench.table.items(), bench.table.revision())
}

fn read(text: &str) -> Vec<ProposedRow> {
    read_csv(text).unwrap().unwrap()
}

#[test]
fn a_file_read_back_changes_nothing_with_either_separator() {
    fn property(rows: Vec<AnyRow>) -> bool {
        let bench = fill(rows);
        let text = export(&bench);
        let semicolons = format!("\u{feff}{}", text.replace(',', ";"));
        [text, semicolons].iter().all(|text| {
            let proposed = read(text);
            let is_same =
                |line: &ProposedRow| bench.table.items().row(&line.key).unwrap().0 == &line.row;
            proposed.len() == bench.table.items().rows().count()
                && proposed.iter().all(is_same)
                && Diff::between(bench.table.items(), &proposed) == Diff::default()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(200)
        .quickcheck(property as fn(Vec<AnyRow>) -> bool);
}

#[test]
fn no_cell_begins_like_a_formula() {
    let bench = fill(vec![AnyRow(1, 0, row(1))]);
    let text = export(&bench);
    let line = text.lines().nth(1).unwrap();
    assert!(line.starts_with("'-2-1,"), "{line}");
}

#[test]
fn bad_cells_are_named_by_line_column_and_reason() {
    let bench = fill(vec![AnyRow(0, 0, row(5)), AnyRow(2, 1, row(6))]);
    let text = export(&bench).replace(",5,0,4,", ",-5,many,4,");
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
fn hostile_files_are_refused_without_a_panic() {
    let header = export(&Bench::new());
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
fn a_diff_shows_and_brings_about_additions_changes_and_removals() {
    let mut bench = fill(vec![AnyRow(2, 0, row(5)), AnyRow(4, 0, row(5))]);
    let text = export(&bench);
    let mut proposed = read(&text);
    proposed.retain(|line| line.key != key("a_b", "syllabus"));
    proposed[0].row.weight = 9;
    proposed.push(ProposedRow {
        base: None,
        key: key("нов", "advice"),
        line: 4,
        row: row(2),
    });
    let diff = Diff::between(bench.table.items(), &proposed);
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
    assert_eq!(bench.apply(&edit("apply", diff.changes())), accepted(4));
    let keys: Vec<_> = bench
        .table
        .items()
        .rows()
        .map(|(key, ..)| key.to_string())
        .collect();
    assert_eq!(keys, ["Maracas Ridge/syllabus", "нов/advice"]);
}

#[test]
fn a_stale_file_neither_reverts_nor_removes_what_others_changed_since() {
    let mut bench = fill(vec![AnyRow(2, 0, row(5)), AnyRow(4, 0, row(5))]);
    let mut proposed = read(&export(&bench));
    bench.set("Maracas Ridge", "syllabus", 2, row(7));
    bench.set("later", "syllabus", 0, row(8));
    let remove = ItemChange::row(key("a_b", "syllabus"), Revision(3), None);
    bench.apply(&edit("remove", vec![remove]));
    let unedited = Diff::between(bench.table.items(), &proposed);
    assert_eq!(unedited, Diff::default());
    proposed[0].row.weight = 6;
    proposed[1].row.weight = 6;
    let edited = Diff::between(bench.table.items(), &proposed);
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
fn an_edited_line_is_applied_while_others_change_other_rows() {
    let mut bench = fill(vec![AnyRow(2, 0, row(5)), AnyRow(4, 0, row(5))]);
    let mut proposed = read(&export(&bench));
    proposed[0].row.weight = 6;
    bench.set("a_b", "syllabus", 3, row(7));
    let diff = Diff::between(bench.table.items(), &proposed);
    assert_eq!(bench.apply(&edit("apply", diff.changes())), accepted(5));
    let weights: Vec<_> = bench
        .table
        .items()
        .rows()
        .map(|(.., row)| row.weight)
        .collect();
    assert_eq!(weights, [6, 7]);
}

#[test]
fn a_copied_line_needs_an_empty_base() {
    let bench = fill(vec![AnyRow(2, 0, row(5))]);
    let mut proposed = read(&export(&bench));
    let mut copy = proposed[0].clone();
    copy.key = key("copy", "syllabus");
    proposed.push(copy);
    let diff = Diff::between(bench.table.items(), &proposed);
    let missing = key("copy", "syllabus");
    assert_eq!(diff.conflicts, [DiffConflict::Missing { key: missing }]);
    proposed[1].base = None;
    let diff = Diff::between(bench.table.items(), &proposed);
    assert_eq!((diff.conflicts.len(), diff.rows.len()), (0, 1));
}

#[test]
fn a_row_that_stands_in_two_lines_is_a_conflict() {
    let bench = fill(vec![AnyRow(2, 0, row(5))]);
    let mut proposed = read(&export(&bench));
    proposed.push(proposed[0].clone());
    let diff = Diff::between(bench.table.items(), &proposed);
    let key = key("Maracas Ridge", "syllabus");
    assert_eq!(diff.conflicts, [DiffConflict::Duplicate { key }]);
}
