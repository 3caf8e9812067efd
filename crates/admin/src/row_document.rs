//! Conversion of rows to and from JSON.
//!
//! Parsing uses the same cells as a table file, so that both report the same problems.

use serde::Serialize;
use serde_json::{Map, Value};
use table::{
    Column, Item, ItemId, Problem, ProblemReason, Revision, Row, RowCells, RowKey, VersionedItem,
};

const FIELD_NAME_CHARS_MAX: usize = 40;

/// A row as JSON, with its customer, kind and revision.
#[derive(Debug, Serialize)]
pub(crate) struct RowDocument {
    customer: String,
    kind: String,
    revision: u64,
    #[serde(flatten)]
    row: Row,
}

impl RowDocument {
    pub(crate) fn new(key: &RowKey, revision: Revision, row: &Row) -> Self {
        Self {
            customer: key.customer.to_string(),
            kind: key.kind.to_string(),
            revision: revision.0,
            row: row.clone(),
        }
    }
}

/// Current state of an item that did not have the revision that an edit expected.
#[derive(Debug, Serialize)]
pub(crate) struct CurrentItemDocument {
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    row: Option<Row>,
    target: String,
}

impl CurrentItemDocument {
    pub(crate) fn new(current: VersionedItem) -> Self {
        let row = match current.item {
            Some(Item::Row(row)) => Some(row),
            _ => None,
        };
        Self {
            revision: current.revision.0,
            row,
            target: current.item_id.to_string(),
        }
    }
}

/// Type and name of an item in the history.
#[derive(Debug, Serialize)]
pub(crate) struct ItemIdDocument {
    name: String,
    r#type: &'static str,
}

impl ItemIdDocument {
    pub(crate) fn new(item_id: &ItemId) -> Self {
        let (r#type, name) = match item_id {
            ItemId::CustomerKey(hash) => ("customer-key", hash.to_string()),
            ItemId::Kind(kind) => ("kind", kind.to_string()),
            ItemId::OperatorKey(hash) => ("operator-key", hash.to_string()),
            ItemId::Row(key) => ("row", key.to_string()),
        };
        Self { name, r#type }
    }
}

/// Parses the fields of a row; `label` names the row in problems.
///
/// Clients may send back a row as they received it: its customer and kind must match the key, and
/// its revision is ignored.
pub(crate) fn parse_row(
    label: &str,
    key: &RowKey,
    fields: &Map<String, Value>,
) -> Result<Row, Vec<Problem>> {
    let mut cells = RowCells::new(label);
    let mut problems = Vec::new();
    for (name, value) in fields {
        match name.as_str() {
            "customer" if *value == key.customer.as_str() => (),
            "kind" if *value == key.kind.as_str() => (),
            "customer" => problems.push(mismatch_problem(label, Column::Customer)),
            "kind" => problems.push(mismatch_problem(label, Column::Kind)),
            "revision" => (),
            "window" => parse_window(label, value, &mut cells, &mut problems),
            _ => parse_field(label, name, value, &mut cells, &mut problems),
        }
    }
    match cells.parse_row() {
        Ok(row) if problems.is_empty() => Ok(row),
        row => {
            problems.extend(row.err().unwrap_or_default());
            Err(problems)
        }
    }
}

fn cell_text(value: &Value) -> Option<String> {
    match value {
        Value::Array(items) => {
            let names: Option<Vec<&str>> = items.iter().map(Value::as_str).collect();
            names.map(|names| names.join("|"))
        }
        Value::Null => Some(String::new()),
        Value::Number(number) => Some(number.to_string()),
        Value::String(text) => Some(text.clone()),
        Value::Bool(_) | Value::Object(_) => None,
    }
}

fn mismatch_problem(label: &str, column: Column) -> Problem {
    Problem {
        column,
        reason: ProblemReason::Mismatch,
        row: label.to_owned(),
    }
}

fn parse_field(
    label: &str,
    name: &str,
    value: &Value,
    cells: &mut RowCells,
    problems: &mut Vec<Problem>,
) {
    let has_name = |column: &Column| column.name() == name && *column != Column::Base;
    let column = Column::CSV.into_iter().find(has_name);
    let is_list = value.is_array();
    let accepts_value = |column: &Column| !is_list || *column == Column::Models;
    match (column.filter(accepts_value), cell_text(value)) {
        (Some(column), Some(text)) => cells.set(column, &text),
        _ => problems.push(Problem {
            column: column.unwrap_or(Column::Changes),
            reason: ProblemReason::UnknownField {
                field: name.chars().take(FIELD_NAME_CHARS_MAX).collect(),
            },
            row: label.to_owned(),
        }),
    }
}

fn parse_window(label: &str, value: &Value, cells: &mut RowCells, problems: &mut Vec<Problem>) {
    match value {
        Value::Null => (),
        Value::Object(fields) => {
            for (name, value) in fields {
                let name = format!("window_{name}");
                parse_field(label, &name, value, cells, problems);
            }
        }
        _ => problems.push(mismatch_problem(label, Column::WindowStart)),
    }
}
