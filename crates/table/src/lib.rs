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
//! first asks [`Table::stored_outcome`] whether the edit was answered before, then [`Table::check`], which
//! does ask the database, and only then appends the edit to the log.

mod column;
mod csv_file;
mod diff;
mod edit;
mod edit_answers;
mod edit_rules;
mod error;
mod history;
mod item;
mod items;
mod key;
mod line_base;
mod local_time;
mod operator_name;
mod problem;
mod publication;
mod revision;
mod row;
mod row_cells;
mod table;
mod view;
mod view_publisher;
mod window;

pub use column::Column;
pub use csv_file::{ProposedRow, read_csv, write_csv};
pub use diff::{Diff, DiffConflict, RowChange};
pub use edit::{Edit, EditId, EditOutcome, ItemChange, SourceDigest};
pub use error::Error;
pub use history::HistoryEntry;
pub use item::{Item, ItemId, VersionedItem};
pub use items::Items;
pub use key::{CustomerKey, KeyHash, OperatorKey, Role};
pub use line_base::LineBase;
pub use local_time::LocalTime;
pub use operator_name::OperatorName;
pub use problem::{Problem, ProblemReason};
pub use publication::{Delta, ItemsSnapshot, Publication};
pub use revision::Revision;
pub use row::{Row, RowKey, WeightAndPriority};
pub use row_cells::RowCells;
pub use table::Table;
pub use view::{View, ViewOutcome};
pub use view_publisher::ViewPublisher;
pub use window::Window;

/// Time for which the answer to an accepted edit is kept and given again.
pub const ACCEPTED_RETENTION_MS: u64 = 6 * 60 * 60 * 1000;

/// Most answers to accepted edits kept at once.
pub const ANSWERS_ACCEPTED_MAX: usize = 131_072;

/// Most bytes of encoded answers to refused edits kept at once.
pub const ANSWERS_REFUSED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Most answers to refused edits kept at once.
pub const ANSWERS_REFUSED_MAX: usize = 16_384;

/// Most changes in one edit.
pub const CHANGES_PER_EDIT_MAX: usize = 10_000;

/// Most conflicts that one answer lists.
pub const CONFLICTS_LISTED_MAX: usize = 100;

/// Most bytes of one edit, encoded.
pub const EDIT_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Most changed targets kept in the history, over all its edits.
pub const HISTORY_CHANGES_MAX: usize = 65_536;

/// Most items (kinds, rows and keys) that the table holds.
pub const ITEMS_MAX: usize = 400_000;

/// Most problems that one answer lists.
pub const PROBLEMS_LISTED_MAX: usize = 100;

/// Time for which the answer to a refused edit is kept and given again.
pub const REFUSED_RETENTION_MS: u64 = 10 * 60 * 1000;
