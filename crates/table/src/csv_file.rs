//! Export and import of the rows as a CSV file for spreadsheets.
//!
//! A cell that a spreadsheet could interpret as a formula is written with a leading apostrophe, which
//! is removed on import. No name begins with an apostrophe. Both `,` and `;` are accepted as
//! separators, because spreadsheets save with the separator of their locale.

use csv::{ReaderBuilder, StringRecord, Trim, WriterBuilder};

use crate::row_cells::write_cell;
use crate::{Column, Error, Items, LineBase, Problem, Revision, Row, RowCells, RowKey};

const BYTE_ORDER_MARK: char = '\u{feff}';
const FORMULA_GUARD: char = '\'';

/// One imported line of a CSV file.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ProposedRow {
    /// Version of the line at the export; `None` for a new row.
    pub base: Option<LineBase>,
    /// Customer and kind of the row.
    pub key: RowKey,
    /// Line of the file, from 1.
    pub line: u64,
    /// Content of the row.
    pub row: Row,
}

/// Parses a CSV file.
///
/// # Errors
///
/// The outer error reports text that is not CSV with the columns of [`write_csv`]. The inner error
/// lists the problems of single cells.
pub fn read_csv(text: &str) -> Result<Result<Vec<ProposedRow>, Vec<Problem>>, Error> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter(text))
        .trim(Trim::All)
        .from_reader(text.as_bytes());
    let columns = parse_header(reader.headers().map_err(|error| csv_error(&error))?)?;
    let mut problems = Vec::new();
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|error| csv_error(&error))?;
        match read_record(&columns, &record) {
            Ok(row) => rows.push(row),
            Err(record_problems) => problems.extend(record_problems),
        }
    }
    if problems.is_empty() {
        return Ok(Ok(rows));
    }
    Ok(Err(problems))
}

/// Exports every row as CSV; `revision` is the table's revision.
///
/// # Panics
///
/// Never: writing to memory does not fail.
#[must_use]
pub fn write_csv(items: &Items, revision: Revision) -> String {
    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    let header = Column::CSV.map(Column::name);
    writer
        .write_record(header)
        .expect("writing to memory does not fail");
    let mut cell = String::new();
    let mut record = StringRecord::new();
    for (key, _, row) in items.rows() {
        record.clear();
        for column in Column::CSV {
            cell.clear();
            write_cell(&mut cell, column, key, row);
            if column == Column::Base {
                cell = LineBase::new(revision, key, row).to_string();
            }
            escape_formula(column, &mut cell);
            record.push_field(&cell);
        }
        writer
            .write_record(&record)
            .expect("writing to memory does not fail");
    }
    let bytes = writer
        .into_inner()
        .expect("writing to memory does not fail");
    String::from_utf8(bytes).expect("cells are UTF-8")
}

fn csv_error(error: &csv::Error) -> Error {
    Error::Csv {
        line: error.position().map_or(0, csv::Position::line),
        reason: error.to_string(),
    }
}

fn delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or_default();
    if header.contains(';') { b';' } else { b',' }
}

/// Prefixes a text cell that a spreadsheet could interpret as a formula.
fn escape_formula(column: Column, cell: &mut String) {
    let is_text = !matches!(column, Column::Priority | Column::WindowPriority);
    if is_text && cell.starts_with(['=', '+', '-', '@', '\t', '\r', FORMULA_GUARD]) {
        cell.insert(0, FORMULA_GUARD);
    }
}

fn parse_header(header: &StringRecord) -> Result<Vec<Column>, Error> {
    let error = |reason: String| Error::Csv { line: 1, reason };
    let mut columns = Vec::new();
    for name in header {
        let column = Column::CSV.into_iter().find(|column| column.name() == name);
        let column = column.ok_or_else(|| {
            let name: String = name.chars().take(40).collect();
            error(format!("column `{}` is not known", name.escape_debug()))
        })?;
        if columns.contains(&column) {
            return Err(error(format!("column `{column}` stands twice")));
        }
        columns.push(column);
    }
    match Column::CSV
        .into_iter()
        .find(|column| !columns.contains(column))
    {
        Some(missing) => Err(error(format!("column `{missing}` is missing"))),
        None => Ok(columns),
    }
}

fn read_record(columns: &[Column], record: &StringRecord) -> Result<ProposedRow, Vec<Problem>> {
    let line = record.position().map_or(0, csv::Position::line);
    let mut cells = RowCells::new(&format!("line {line}"));
    for (&column, text) in columns.iter().zip(record) {
        cells.set(column, text.strip_prefix(FORMULA_GUARD).unwrap_or(text));
    }
    let (base, key, row) = (cells.parse_base(), cells.parse_key(), cells.parse_row());
    match (base, key, row) {
        (Ok(base), Ok(key), Ok(row)) => Ok(ProposedRow {
            base,
            key,
            line,
            row,
        }),
        (base, key, row) => {
            let problems = [base.err(), key.err(), row.err()];
            Err(problems.into_iter().flatten().flatten().collect())
        }
    }
}
