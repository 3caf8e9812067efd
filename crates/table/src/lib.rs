//! Customers' rows, edits and revisions.
//!
//! The [`Table`] is a deterministic state machine. Every voter applies the same edits from the
//! replicated log, with the log index and the time that the leader stamped, and so reaches the same
//! state and the same answers. It holds the kinds of work, one row per customer and kind, and the
//! hashed keys of customers and operators; all of them change by the same kind of [`Edit`].
//!
//! A [`View`] is the copy that a subscriber keeps. It follows the table by deltas, or by a snapshot
//! when the deltas it needs are gone, and never returns to an older revision.
//!
//! Rows are held in a `BTreeMap` rather than a sorted vector: at 111,000 rows an insertion into a
//! vector would move megabytes.
//!
//! Whether a time zone exists depends on the time zone database of the build, so [`Table::apply`]
//! does not ask: builds that differ would otherwise part during a rolling upgrade. The proposer
//! calls [`Table::check`], which does, before it appends an edit to the log.

mod answers;
mod cells;
mod check;
mod column;
mod csv_file;
mod diff;
mod edit;
mod error;
mod history;
mod item;
mod items;
mod key;
mod operator_name;
mod problem;
mod publication;
mod revision;
mod row;
mod table;
mod view;
mod window;

pub use cells::Cells;
pub use column::Column;
pub use csv_file::{ProposedRow, read_csv, write_csv};
pub use diff::{Diff, DiffConflict, RowChange};
pub use edit::{Change, Edit, EditId, EditOutcome};
pub use error::Error;
pub use history::Revised;
pub use item::{Item, Target, Versioned};
pub use items::Items;
pub use key::{CustomerKey, KeyHash, OperatorKey, Role};
pub use operator_name::OperatorName;
pub use problem::{Problem, Reason};
pub use publication::{Delta, Publication, PublishedItem, Snapshot};
pub use revision::Revision;
pub use row::{Row, RowKey, Share};
pub use table::Table;
pub use view::{View, ViewOutcome};
pub use window::{LocalTime, Window};

/// Time for which the answer to an edit id is kept and given again.
pub const ANSWER_RETENTION_MS: u64 = 6 * 60 * 60 * 1000;

/// Most answers kept at once; further edits are refused as busy until the oldest expires.
pub const ANSWERS_MAX: usize = 131_072;

/// Most bytes of encoded answers kept at once.
pub const ANSWERS_BYTES_MAX: usize = 32 * 1024 * 1024;

/// Most changes in one edit.
pub const CHANGES_PER_EDIT_MAX: usize = 10_000;

/// Most changed targets kept in the history, over all its edits.
pub const HISTORY_TARGETS_MAX: usize = 65_536;

/// Most items (kinds, rows and keys) that the table holds.
pub const ITEMS_MAX: usize = 400_000;
