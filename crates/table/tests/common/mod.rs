//! Harness and builders for the tests of the table.
#![allow(dead_code, reason = "each test file uses its own part")]

use names::{CLOCK_STEP_MS_MAX, CustomerName, KindName, LogIndex, ModelName};
use table::{
    Edit, EditId, EditOutcome, Item, ItemChange, ItemId, LocalTime, OperatorName, Revision, Row,
    RowKey, Table, Window,
};

pub const KINDS: [&str; 3] = ["syllabus", "advice", "съвет"];

/// A table with a log index and a leader clock.
pub struct TableHarness {
    pub at_ms: u64,
    pub index: u64,
    pub table: Table,
}

impl TableHarness {
    /// Creates a table in which all `KINDS` are declared at revision 1.
    pub fn new() -> Self {
        let mut harness = Self {
            at_ms: 1_000,
            index: 0,
            table: Table::default(),
        };
        let kinds = KINDS.map(|kind| ItemChange {
            expected_revision: Revision::ABSENT,
            item: Some(Item::Kind),
            item_id: ItemId::Kind(KindName::new(kind).unwrap()),
        });
        let outcome = harness.apply(&edit("kinds", kinds.to_vec()));
        assert_eq!(outcome, accepted(1));
        harness
    }

    /// Advances the time in steps that the table's clock counts in full.
    pub fn advance_time(&mut self, ms: u64) {
        let end_ms = self.at_ms + ms;
        while self.at_ms < end_ms {
            self.at_ms = end_ms.min(self.at_ms + CLOCK_STEP_MS_MAX);
            self.table.advance(self.at_ms);
        }
    }

    pub fn apply(&mut self, edit: &Edit) -> EditOutcome {
        self.index += 1;
        self.table.apply(LogIndex(self.index), self.at_ms, edit)
    }

    pub fn set_row(&mut self, customer: &str, kind: &str, expected: u64, row: Row) -> EditOutcome {
        let id = format!("set-{}", self.index);
        let change = ItemChange::row(key(customer, kind), Revision(expected), Some(row));
        self.apply(&edit(&id, vec![change]))
    }
}

pub fn accepted(revision: u64) -> EditOutcome {
    EditOutcome::Accepted {
        revision: Revision(revision),
    }
}

pub fn edit(id: &str, changes: Vec<ItemChange>) -> Edit {
    Edit {
        author: OperatorName::new("мария").unwrap(),
        changes,
        edit_id: EditId::new(id).unwrap(),
        source: None,
    }
}

pub fn key(customer: &str, kind: &str) -> RowKey {
    RowKey {
        customer: CustomerName::new(customer).unwrap(),
        kind: KindName::new(kind).unwrap(),
    }
}

pub fn row(weight: u32) -> Row {
    Row {
        models: vec![ModelName::new("forge-7b").unwrap()],
        priority: 0,
        queued_max: 10,
        queueing_ms_max: 5_000,
        running_max: 4,
        tokens_per_second_max: None,
        urgent_share_percent: 25,
        weight,
        window: None,
    }
}

pub fn time(hour: u8, minute: u8) -> LocalTime {
    LocalTime::new(hour, minute).unwrap()
}

pub fn window(start: LocalTime, end: LocalTime, time_zone: &str) -> Window {
    Window {
        end,
        priority: 7,
        start,
        time_zone: time_zone.into(),
        weight: 70,
    }
}
