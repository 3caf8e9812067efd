//! Difference between the table and an edited CSV export.
//!
//! Each line carries its base: the table's revision at the export and a fingerprint of the line.
//!
//! - An unedited line changes nothing, even if its row has changed since the export.
//! - An edited line is a conflict if its row has changed to another content since the export.
//! - A row without a line is removed, unless it has changed since the export.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{Column, ItemChange, Items, LineBase, ProposedRow, Revision, Row, RowCells, RowKey};

/// Changes that would bring the table to the content of a CSV file.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Diff {
    /// Lines that cannot be applied, with the reason.
    pub conflicts: Vec<DiffConflict>,
    /// Rows that would be added, changed or removed, ordered by key.
    pub rows: Vec<RowChange>,
}

/// Reason why a line cannot be applied to the current table.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum DiffConflict {
    /// The row has changed since the export.
    Changed {
        /// Key of the row.
        key: RowKey,
        /// Current revision of the row.
        revision: Revision,
    },
    /// The line has a base, but its row does not exist.
    Missing {
        /// Key of the row.
        key: RowKey,
    },
    /// Two lines have the same customer and kind.
    Duplicate {
        /// Key of the row.
        key: RowKey,
    },
}

impl Display for DiffConflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Changed { key, revision } => {
                write!(
                    f,
                    "! {key}: was changed at revision {revision}, after the file was written"
                )
            }
            Self::Missing { key } => write!(
                f,
                "! {key}: does not exist; empty its cell `base` to add it"
            ),
            Self::Duplicate { key } => write!(f, "! {key}: stands in two lines"),
        }
    }
}

/// One row that would be added, changed or removed.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowChange {
    /// Proposed content; `None` to remove the row.
    pub after: Option<Row>,
    /// Current content; `None` if the row does not exist.
    pub before: Option<Row>,
    /// Key of the row.
    pub key: RowKey,
    /// Current revision of the row.
    pub revision: Revision,
}

impl Display for RowChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mark = match (&self.before, &self.after) {
            (None, _) => '+',
            (Some(_), None) => '-',
            (Some(_), Some(_)) => '~',
        };
        write!(f, "{mark} {}:", self.key)?;
        let cells = |row: &Option<Row>| match row {
            Some(row) => RowCells::from_row(&self.key, row),
            None => RowCells::default(),
        };
        let (before, after) = (cells(&self.before), cells(&self.after));
        let is_shown = |column: &Column| {
            !matches!(column, Column::Base | Column::Customer | Column::Kind)
                && before.get(*column) != after.get(*column)
        };
        for column in Column::CSV.into_iter().filter(is_shown) {
            match (&self.before, &self.after) {
                (Some(_), Some(_)) => {
                    let (before, after) = (before.get(column), after.get(column));
                    write!(
                        f,
                        " {column} {}→{}",
                        text_or_none(before),
                        text_or_none(after)
                    )?;
                }
                (Some(_), None) => write!(f, " {column} {}", text_or_none(before.get(column)))?,
                (None, _) => write!(f, " {column} {}", text_or_none(after.get(column)))?,
            }
        }
        Ok(())
    }
}

impl Diff {
    /// Compares the table with the lines of a CSV file.
    #[must_use]
    pub fn between(current: &Items, proposed: &[ProposedRow]) -> Self {
        let mut lines: Vec<&ProposedRow> = proposed.iter().collect();
        lines.sort_by(|a, b| a.key.cmp(&b.key));
        let mut diff = Self::default();
        let mut duplicate_keys: Vec<RowKey> = lines
            .windows(2)
            .filter(|pair| pair[0].key == pair[1].key)
            .map(|pair| pair[0].key.clone())
            .collect();
        duplicate_keys.dedup();
        for line in &lines {
            diff.compare_line(current, line);
        }
        diff.remove_rows_without_line(current, &lines);
        diff.conflicts.extend(
            duplicate_keys
                .into_iter()
                .map(|key| DiffConflict::Duplicate { key }),
        );
        diff.rows.sort_by(|a, b| a.key.cmp(&b.key));
        diff
    }

    /// Changes of an edit that applies the difference.
    #[must_use]
    pub fn changes(&self) -> Vec<ItemChange> {
        self.rows
            .iter()
            .map(|row| ItemChange::row(row.key.clone(), row.revision, row.after.clone()))
            .collect()
    }

    fn compare_line(&mut self, current: &Items, line: &ProposedRow) {
        let is_unedited = |base: LineBase| base.is_unedited(&line.key, &line.row);
        if line.base.is_some_and(is_unedited) {
            return;
        }
        let key = line.key.clone();
        match (current.row(&key), line.base) {
            (Some((before, _)), _) if *before == line.row => (),
            (Some((before, revision)), Some(base)) if revision <= base.revision => {
                self.push(key, revision, Some(before), Some(&line.row));
            }
            (Some((_, revision)), _) => {
                self.conflicts.push(DiffConflict::Changed { key, revision });
            }
            (None, Some(_)) => self.conflicts.push(DiffConflict::Missing { key }),
            (None, None) => self.push(key, Revision::ABSENT, None, Some(&line.row)),
        }
    }

    fn push(&mut self, key: RowKey, revision: Revision, before: Option<&Row>, after: Option<&Row>) {
        self.rows.push(RowChange {
            after: after.cloned(),
            before: before.cloned(),
            key,
            revision,
        });
    }

    fn remove_rows_without_line(&mut self, current: &Items, lines: &[&ProposedRow]) {
        let file_revision = lines
            .iter()
            .filter_map(|line| line.base)
            .map(|base| base.revision);
        let file_revision = file_revision.max().unwrap_or(Revision::ABSENT);
        for (key, revision, row) in current.rows() {
            let has_line = lines.binary_search_by(|line| line.key.cmp(key)).is_ok();
            if !has_line && revision <= file_revision {
                self.push(key.clone(), revision, Some(row), None);
            }
        }
    }
}

impl Display for Diff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.conflicts
            .iter()
            .try_for_each(|line| writeln!(f, "{line}"))?;
        self.rows
            .iter()
            .try_for_each(|line| writeln!(f, "{line}"))?;
        let count = |is_counted: fn(&RowChange) -> bool| {
            self.rows.iter().filter(|row| is_counted(row)).count()
        };
        writeln!(
            f,
            "{} added, {} changed, {} removed, {} in conflict",
            count(|row| row.before.is_none()),
            count(|row| row.before.is_some() && row.after.is_some()),
            count(|row| row.after.is_none()),
            self.conflicts.len(),
        )
    }
}

fn text_or_none(text: &str) -> &str {
    if text.is_empty() { "(none)" } else { text }
}
