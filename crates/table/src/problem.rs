use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Column;

/// One broken rule of an edit.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Column in which the problem lies.
    pub column: Column,
    /// What is wrong.
    pub reason: ProblemReason,
    /// Row in which the problem lies, by name or by line of a file.
    pub row: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {}, column {}: {}",
            self.row, self.column, self.reason
        )
    }
}

/// What is wrong with a cell or a change.
#[derive(Debug, Clone, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ProblemReason {
    /// Contradicts another column.
    #[error("contradicts {other}: {detail}")]
    Contradiction {
        /// Why both cannot hold.
        detail: String,
        /// The other column.
        other: Column,
    },
    /// The same item is changed twice in one edit.
    #[error("is changed twice in one edit")]
    Duplicate,
    /// A list holds the same name twice.
    #[error("holds `{name}` twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// The kind of work still has rows.
    #[error("still has {rows} rows")]
    InUse {
        /// Number of rows.
        rows: u64,
    },
    /// The content does not fit what is changed.
    #[error("content does not fit the item that is changed")]
    Mismatch,
    /// A cell that must be filled is empty.
    #[error("is empty")]
    Missing,
    /// A name breaks the rules of names.
    #[error("{detail}")]
    Name {
        /// Which rule.
        detail: String,
    },
    /// Not the base that was written.
    #[error("`{text}` is not what was written; empty the cell to add the row")]
    InvalidLineBase {
        /// The text, shortened.
        text: String,
    },
    /// Not a whole number.
    #[error("`{text}` is not a whole number")]
    NotANumber {
        /// The text, shortened.
        text: String,
    },
    /// Not a time of day.
    #[error("`{text}` is not a time of day as HH:MM")]
    NotATime {
        /// The text, shortened.
        text: String,
    },
    /// Outside the allowed range.
    #[error("{value} is not from {min} to {max}")]
    Range {
        /// Greatest allowed value.
        max: i64,
        /// Least allowed value.
        min: i64,
        /// The value.
        value: i64,
    },
    /// Longer than a fixed maximum.
    #[error("{length_bytes} bytes are too long, at most {max_bytes} are allowed")]
    TooLong {
        /// Length of what was sent.
        length_bytes: u64,
        /// Greatest allowed length.
        max_bytes: u64,
    },
    /// More than a fixed maximum.
    #[error("{count} are too many, at most {max} are allowed")]
    TooMany {
        /// How many there are.
        count: u64,
        /// How many there may be.
        max: u64,
    },
    /// The kind of work is not declared.
    #[error("kind `{kind}` is not declared")]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// A list is not in order.
    #[error("`{name}` stands out of order")]
    Unsorted {
        /// The name.
        name: String,
    },
    /// This build does not know the time zone.
    #[error("time zone `{time_zone}` is not known")]
    UnknownTimeZone {
        /// The time zone, shortened.
        time_zone: String,
    },
    /// A field that no row has.
    #[error("field `{field}` is not known")]
    UnknownField {
        /// The field, shortened.
        field: String,
    },
}
