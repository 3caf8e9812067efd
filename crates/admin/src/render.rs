//! Aligned text from the interface's JSON, for terminals.

use serde_json::Value;

const ENDPOINT_COLUMNS: [&str; 11] = [
    "name",
    "state",
    "offer",
    "region",
    "data_centre",
    "address",
    "owner",
    "running",
    "waiting",
    "memory_used_tokens",
    "heard_ms_ago",
];
const GAP: &str = "  ";
const HISTORY_COLUMNS: [&str; 5] = ["revision", "at_ms", "author", "edit_id", "changed"];
const INSTANCE_COLUMNS: [&str; 9] = [
    "name",
    "state",
    "voting",
    "revision",
    "region",
    "data_centre",
    "address",
    "incarnation",
    "heard_ms_ago",
];
const ROW_COLUMNS: [&str; 12] = [
    "customer",
    "kind",
    "revision",
    "weight",
    "priority",
    "running_max",
    "tokens_per_second_max",
    "queued_max",
    "queueing_ms_max",
    "urgent_share_percent",
    "models",
    "window",
];

/// Aligns an array of objects in the given columns.
#[must_use]
pub fn columns(objects: &Value, columns: &[&str]) -> String {
    let header = columns.iter().map(|name| (*name).to_owned()).collect();
    let objects = objects.as_array().map_or(&[][..], Vec::as_slice);
    let cells = |object: &Value| columns.iter().map(|name| cell(&object[*name])).collect();
    let lines: Vec<Vec<String>> = std::iter::once(header)
        .chain(objects.iter().map(cells))
        .collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| lines.iter().map(|line| width(&line[column])).max())
        .map(Option::unwrap_or_default)
        .collect();
    lines.iter().map(|line| aligned(line, &widths)).collect()
}

/// Aligns the fields of one object, one a line.
#[must_use]
pub fn fields(object: &Value) -> String {
    let Some(object) = object.as_object() else {
        return format!("{}\n", cell(object));
    };
    let widest = object.keys().map(|name| width(name)).max();
    let widths = [widest.unwrap_or_default(), 0];
    object
        .iter()
        .map(|(name, value)| aligned(&[name.clone(), cell(value)], &widths))
        .collect()
}

/// The answer of `/v1/endpoints`.
#[must_use]
pub fn endpoints(document: &Value) -> String {
    columns(&document["endpoints"], &ENDPOINT_COLUMNS)
}

/// The answer of `/v1/table/history`.
#[must_use]
pub fn history(document: &Value) -> String {
    columns(&document["edits"], &HISTORY_COLUMNS)
}

/// The answer of `/v1/instances`.
#[must_use]
pub fn instances(document: &Value) -> String {
    columns(&document["instances"], &INSTANCE_COLUMNS)
}

/// A problem document, with one line for each broken rule and each row in conflict.
#[must_use]
pub fn problem(document: &Value) -> String {
    let title = cell(&document["title"]);
    let mut lines = vec![format!("{title}: {}", cell(&document["detail"]))];
    let list = |name: &str| document[name].as_array().cloned().unwrap_or_default();
    for problem in list("problems") {
        let [row, column, reason] = ["row", "column", "reason"].map(|name| cell(&problem[name]));
        lines.push(format!("  row {row}, column {column}: {reason}"));
    }
    for conflict in list("conflicts") {
        lines.push(format!("  {}", cell(&conflict)));
    }
    for current in list("current") {
        let [target, revision] = ["target", "revision"].map(|name| cell(&current[name]));
        lines.push(format!("  {target} is at revision {revision}"));
    }
    lines.push(String::new());
    lines.join("\n")
}

/// The answer of `/v1/table`.
#[must_use]
pub fn rows(document: &Value) -> String {
    columns(&document["rows"], &ROW_COLUMNS)
}

fn aligned(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, column_width) in cells.iter().zip(widths) {
        line.push_str(cell);
        line.extend(std::iter::repeat_n(
            ' ',
            column_width.saturating_sub(width(cell)),
        ));
        line.push_str(GAP);
    }
    let mut line = line.trim_end().to_owned();
    line.push('\n');
    line
}

fn cell(value: &Value) -> String {
    let text = match value {
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        Value::Null => "-".to_owned(),
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", cell(value)));
            fields.collect::<Vec<_>>().join(",")
        }
        Value::String(text) => text.clone(),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    };
    // Control characters could move a terminal's cursor.
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

fn width(text: &str) -> usize {
    text.chars().count()
}
