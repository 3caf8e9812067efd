use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Column;

/// One rule that an edit or a row breaks.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Column that the problem refers to.
    pub column: Column,
    /// Rule that is broken.
    pub reason: ProblemReason,
    /// Row or other item that the problem refers to, by name or by line of a CSV file.
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

/// Rule that a cell or a change breaks.
#[derive(Debug, Clone, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ProblemReason {
    /// The value contradicts another column.
    #[error("contradicts {other}: {detail}")]
    Contradiction {
        /// Consequence of the contradiction.
        detail: String,
        /// The other column.
        other: Column,
    },
    /// The edit changes the same item twice.
    #[error("is changed twice in one edit")]
    Duplicate,
    /// A list has the same name twice.
    #[error("holds `{name}` twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// The kind cannot be deleted, because it still has rows.
    #[error("still has {rows} rows")]
    InUse {
        /// Number of rows.
        rows: u64,
    },
    /// The content has another type than the item id.
    #[error("content does not fit the item that is changed")]
    Mismatch,
    /// A required cell or list is empty.
    #[error("is empty")]
    Missing,
    /// The text is not a valid name.
    #[error("{detail}")]
    Name {
        /// Error text of `names::Error`.
        detail: String,
    },
    /// The text is not a valid line base.
    #[error("`{text}` is not what was written; empty the cell to add the row")]
    InvalidLineBase {
        /// The text, truncated.
        text: String,
    },
    /// The text is not a whole number.
    #[error("`{text}` is not a whole number")]
    NotANumber {
        /// The text, truncated.
        text: String,
    },
    /// The text is not a time of day.
    #[error("`{text}` is not a time of day as HH:MM")]
    NotATime {
        /// The text, truncated.
        text: String,
    },
    /// The value is outside the allowed range.
    #[error("{value} is not from {min} to {max}")]
    Range {
        /// Greatest allowed value.
        max: i64,
        /// Least allowed value.
        min: i64,
        /// The value.
        value: i64,
    },
    /// The text or edit is longer than the maximum.
    #[error("{length_bytes} bytes are too long, at most {max_bytes} are allowed")]
    TooLong {
        /// Actual length.
        length_bytes: u64,
        /// Greatest allowed length.
        max_bytes: u64,
    },
    /// There are more elements than the maximum.
    #[error("{count} are too many, at most {max} are allowed")]
    TooMany {
        /// Actual number.
        count: u64,
        /// Greatest allowed number.
        max: u64,
    },
    /// The row's kind is not declared.
    #[error("kind `{kind}` is not declared")]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// A list is not sorted.
    #[error("`{name}` stands out of order")]
    Unsorted {
        /// The name.
        name: String,
    },
    /// The time zone database of this build does not have the time zone.
    #[error("time zone `{time_zone}` is not known")]
    UnknownTimeZone {
        /// The time zone, truncated.
        time_zone: String,
    },
    /// The JSON row has an unknown field.
    #[error("field `{field}` is not known")]
    UnknownField {
        /// Name of the field, truncated.
        field: String,
    },
}
