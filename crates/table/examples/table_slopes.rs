//! Measures memory and time of the table by number of rows, and sizes of deltas and snapshots.
//!
//! Run with `cargo run --release -p table --example table_slopes -- CUSTOMERS [FILE]`. Use one process
//! per size, since memory freed by an earlier size would distort the next result. With `FILE`, the
//! items snapshot is written to that file; `table_slopes view FILE` measures a view of it.
//! `table_slopes window` measures a row with a window.

use std::fs;
use std::time::Instant;

use names::{KindName, LogIndex, ModelName};
use table::{
    Diff, Edit, EditId, EditOutcome, Item, ItemChange, ItemId, LocalTime, OperatorName,
    Publication, Revision, Row, RowKey, Table, View, Window, read_csv, write_csv,
};

const BATCH_ROWS: usize = 1_000;
const CUSTOMERS_DEFAULT: usize = 37_000;
/// Interval at 110,000 edits per day, which determines how many outcomes are stored.
const EDIT_INTERVAL_MS: u64 = 785;
const MEASURED_EDITS: u32 = 20_000;
const KINDS: [&str; 3] = ["syllabus", "advice", "booking"];

struct TableBenchmark {
    index: u64,
    table: Table,
}

impl TableBenchmark {
    fn apply(&mut self, changes: Vec<ItemChange>) {
        self.index += 1;
        let edit = edit(self.index, changes);
        let at_ms = self.index * EDIT_INTERVAL_MS;
        let outcome = self.table.apply(LogIndex(self.index), at_ms, &edit);
        assert!(
            matches!(outcome, EditOutcome::Accepted { .. }),
            "{outcome:?}"
        );
    }
}

fn change(customer: usize, kind: usize, expected: Revision, weight: u32) -> ItemChange {
    let key = RowKey {
        customer: format!("customer-{customer:05}").parse().expect("a name"),
        kind: KINDS[kind].parse().expect("a name"),
    };
    ItemChange::row(key, expected, Some(row(weight)))
}

fn edit(id: u64, changes: Vec<ItemChange>) -> Edit {
    Edit {
        author: OperatorName::new("operator").expect("a name"),
        changes,
        edit_id: EditId::new(&format!("{id:032x}")).expect("an id"),
        source: None,
    }
}

fn benchmark_with_rows(customers: usize) -> TableBenchmark {
    let mut benchmark = TableBenchmark {
        index: 0,
        table: Table::default(),
    };
    let kinds = KINDS.map(|kind| ItemChange {
        expected_revision: Revision::ABSENT,
        item: Some(Item::Kind),
        item_id: ItemId::Kind(KindName::new(kind).expect("a name")),
    });
    benchmark.apply(kinds.into());
    let rows: Vec<(usize, usize)> = (0..customers)
        .flat_map(|customer| (0..KINDS.len()).map(move |kind| (customer, kind)))
        .collect();
    for batch in rows.chunks(BATCH_ROWS) {
        let changes = batch
            .iter()
            .map(|&(c, k)| change(c, k, Revision::ABSENT, 1));
        benchmark.apply(changes.collect());
    }
    benchmark
}

fn row(weight: u32) -> Row {
    Row {
        models: vec![ModelName::new("forge-7b").expect("a name")],
        priority: 0,
        queued_max: 10,
        queueing_ms_max: 5_000,
        running_max: 4,
        tokens_per_second_max: Some(400),
        urgent_share_percent: 25,
        weight,
        window: None,
    }
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("Linux has /proc/self/status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<usize>().ok())
        .expect("a number")
        * 1024
}

fn measure(customers: usize, path: Option<&str>) {
    let before_bytes = resident_bytes();
    let mut benchmark = benchmark_with_rows(customers);
    let rows = benchmark.table.items().rows().count();
    let table_bytes = resident_bytes().saturating_sub(before_bytes);
    let started = Instant::now();
    for n in 0..MEASURED_EDITS {
        // 7,919 is prime, so the steps reach every row unless it divides the number of rows.
        let row = n as usize * 7_919 % rows;
        let (customer, kind) = (row / KINDS.len(), row % KINDS.len());
        let first = change(customer, kind, Revision::ABSENT, 1);
        let ItemId::Row(key) = &first.item_id else {
            unreachable!("the change is for a row")
        };
        let revision = benchmark
            .table
            .items()
            .row(key)
            .map(|(_, revision)| revision);
        let revision = revision.expect("the row exists");
        benchmark.apply(vec![change(customer, kind, revision, 2 + n % 100)]);
    }
    let apply_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(MEASURED_EDITS);
    println!(
        "rows={rows} memory_bytes_per_row={} apply_us_per_edit={apply_us:.2}",
        table_bytes / rows
    );
    measure_publication(&benchmark, path);
    measure_csv(&benchmark.table);
}

fn measure_publication(benchmark: &TableBenchmark, path: Option<&str>) {
    let latest = benchmark.table.revision().0;
    for changes in [1, 10, 100] {
        let delta = benchmark
            .table
            .publication_since(Revision(latest - changes));
        assert!(matches!(delta, Publication::Delta(_)));
        let bytes = postcard::to_allocvec(&delta)
            .expect("the publication can be encoded")
            .len();
        println!("delta_changes={changes} delta_bytes={bytes}");
    }
    let encoded = postcard::to_allocvec(&benchmark.table.items_snapshot())
        .expect("the publication can be encoded");
    println!("publication_bytes={}", encoded.len());
    if let Some(path) = path {
        fs::write(path, encoded).expect("the file is written");
    }
    let started = Instant::now();
    let snapshot = benchmark.table.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let restored = Table::restore(&snapshot).expect("the snapshot decodes");
    let restore_ms = started.elapsed().as_secs_f64() * 1e3;
    assert!(
        restored == benchmark.table,
        "the snapshot holds the whole state"
    );
    println!(
        "snapshot_bytes={} snapshot_ms={snapshot_ms:.1} restore_ms={restore_ms:.1}",
        snapshot.len()
    );
}

fn measure_csv(table: &Table) {
    let started = Instant::now();
    let csv = write_csv(table.items(), table.revision());
    let write_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let proposed = read_csv(&csv).expect("the file is valid CSV");
    let proposed = proposed.expect("the file has no problems");
    let read_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let diff = Diff::between(table.items(), &proposed);
    let diff_ms = started.elapsed().as_secs_f64() * 1e3;
    assert!(diff.rows.is_empty(), "the file was not edited");
    println!(
        "csv_bytes={} csv_write_ms={write_ms:.1} csv_read_ms={read_ms:.1} diff_ms={diff_ms:.1}",
        csv.len()
    );
}

fn measure_window() {
    let mut row = row(1);
    row.window = Some(Window {
        end: LocalTime::new(11, 30).expect("a time"),
        priority: 1,
        start: LocalTime::new(8, 0).expect("a time"),
        time_zone: "Europe/Sofia".into(),
        weight: 9,
    });
    let started = Instant::now();
    let mut weights = 0;
    for n in 0..MEASURED_EDITS {
        weights += row
            .weight_and_priority_at(1_774_000_000_000 + u64::from(n) * 60_000)
            .weight;
    }
    let lookup_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(MEASURED_EDITS);
    println!("window_share_us={lookup_us:.2} weights={weights}");
}

fn measure_view(path: &str) {
    let encoded = fs::read(path).expect("the file is read");
    let before_bytes = resident_bytes();
    let started = Instant::now();
    let mut view = View::default();
    let snapshot = postcard::from_bytes(&encoded).expect("the snapshot decodes");
    view.apply(Publication::Snapshot(snapshot));
    let decode_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "view_rows={} view_decode_ms={decode_ms:.1} view_peak_bytes={}",
        view.items().rows().count(),
        resident_bytes().saturating_sub(before_bytes)
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["window"] => measure_window(),
        [] => measure(CUSTOMERS_DEFAULT, None),
        ["view", path] => measure_view(path),
        [customers, rest @ ..] => {
            let customers = customers.parse().expect("a number of customers");
            measure(customers, rest.first().copied());
        }
    }
}
