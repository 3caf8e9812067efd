//! Formats JSON responses as aligned text for terminals.

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
const COLUMN_GAP: &str = "  ";
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

/// Formats an array of objects as a table with the given columns.
#[must_use]
pub fn columns(objects: &Value, columns: &[&str]) -> String {
    let header = columns.iter().map(|name| (*name).to_owned()).collect();
    let objects = objects.as_array().map_or(&[][..], Vec::as_slice);
    let cells = |object: &Value| {
        columns
            .iter()
            .map(|name| cell_text(&object[*name]))
            .collect()
    };
    let lines: Vec<Vec<String>> = std::iter::once(header)
        .chain(objects.iter().map(cells))
        .collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| lines.iter().map(|line| width_chars(&line[column])).max())
        .map(Option::unwrap_or_default)
        .collect();
    lines.iter().map(|line| align_line(line, &widths)).collect()
}

/// Formats the fields of an object, one per line.
#[must_use]
pub fn fields(object: &Value) -> String {
    let Some(object) = object.as_object() else {
        return format!("{}\n", cell_text(object));
    };
    let widest = object.keys().map(|name| width_chars(name)).max();
    let widths = [widest.unwrap_or_default(), 0];
    object
        .iter()
        .map(|(name, value)| align_line(&[name.clone(), cell_text(value)], &widths))
        .collect()
}

/// Formats the response of `/v1/endpoints`.
#[must_use]
pub fn endpoints(document: &Value) -> String {
    columns(&document["endpoints"], &ENDPOINT_COLUMNS)
}

/// Formats the response of `/v1/table/history`.
#[must_use]
pub fn history(document: &Value) -> String {
    columns(&document["edits"], &HISTORY_COLUMNS)
}

/// Formats the response of `/v1/instances`.
#[must_use]
pub fn instances(document: &Value) -> String {
    columns(&document["instances"], &INSTANCE_COLUMNS)
}

/// Formats a problem document, with a line for each violated rule and each conflicting row.
#[must_use]
pub fn problem(document: &Value) -> String {
    let title = cell_text(&document["title"]);
    let mut lines = vec![format!("{title}: {}", cell_text(&document["detail"]))];
    let list = |name: &str| document[name].as_array().cloned().unwrap_or_default();
    for problem in list("problems") {
        let [row, column, reason] =
            ["row", "column", "reason"].map(|name| cell_text(&problem[name]));
        lines.push(format!("  row {row}, column {column}: {reason}"));
    }
    for conflict in list("conflicts") {
        lines.push(format!("  {}", cell_text(&conflict)));
    }
    for current in list("current") {
        let [target, revision] = ["target", "revision"].map(|name| cell_text(&current[name]));
        lines.push(format!("  {target} is at revision {revision}"));
    }
    lines.push(String::new());
    lines.join("\n")
}

/// Formats the response of `/v1/table`.
#[must_use]
pub fn rows(document: &Value) -> String {
    columns(&document["rows"], &ROW_COLUMNS)
}

fn align_line(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, column_width) in cells.iter().zip(widths) {
        line.push_str(cell);
        line.extend(std::iter::repeat_n(
            ' ',
            column_width.saturating_sub(width_chars(cell)),
        ));
        line.push_str(COLUMN_GAP);
    }
    let mut line = line.trim_end().to_owned();
    line.push('\n');
    line
}

fn cell_text(value: &Value) -> String {
    let text = match value {
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(" "),
        Value::Null => "-".to_owned(),
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", cell_text(value)));
            fields.collect::<Vec<_>>().join(",")
        }
        Value::String(text) => text.clone(),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    };
    // Control characters in names could move the terminal's cursor.
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

fn width_chars(text: &str) -> usize {
    text.chars().count()
}
