//! Replicated configuration of the customers: their rows, limits and keys.
//!
//! The [`Table`] is a deterministic state machine. Every voter applies the same edits from the
//! replicated log, with the same log index and leader timestamp, and reaches the same state and
//! outcomes. The table contains the kinds of work, one row per customer and kind, and the hashed keys
//! of customers and operators. All of them are changed by an [`Edit`].
//!
//! A [`View`] is a subscriber's copy of the table. It is updated by deltas, or by a snapshot if the
//! deltas it needs are no longer kept. Its revision never decreases.
//!
//! Items are stored in a `BTreeMap` instead of a sorted vector: with 111,000 rows, an insertion into
//! a vector would move megabytes.
//!
//! [`Table::apply`] does not check that a time zone exists. The answer depends on the time zone
//! database of the build, and different builds would diverge during a rolling upgrade. Before the
//! proposer appends an edit to the log, it calls [`Table::stored_outcome`] to find an earlier outcome
//! of the edit, and then [`Table::check`], which does look up time zones.

mod column;
mod csv_file;
mod diff;
mod edit;
mod edit_rules;
mod error;
mod history;
mod item;
mod items;
mod key;
mod line_base;
mod local_time;
mod operator_name;
mod outcome_store;
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

/// Most stored outcomes of accepted edits.
pub const ACCEPTED_OUTCOMES_MAX: usize = 131_072;

/// Time for which the outcome of an accepted edit is stored and returned when the edit is resent.
pub const ACCEPTED_RETENTION_MS: u64 = 6 * 60 * 60 * 1000;

/// Most changes in one edit.
pub const CHANGES_PER_EDIT_MAX: usize = 10_000;

/// Most conflicts that one outcome lists.
pub const CONFLICTS_LISTED_MAX: usize = 100;

/// Most bytes of one encoded edit.
pub const EDIT_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Most changes that the history keeps, summed over its edits.
pub const HISTORY_CHANGES_MAX: usize = 65_536;

/// Most items (kinds, rows and keys) in the table.
pub const ITEMS_MAX: usize = 400_000;

/// Most problems that one outcome lists.
pub const PROBLEMS_LISTED_MAX: usize = 100;

/// Most bytes of stored, encoded outcomes of refused edits.
pub const REFUSED_OUTCOMES_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Most stored outcomes of refused edits.
pub const REFUSED_OUTCOMES_MAX: usize = 16_384;

/// Time for which the outcome of a refused edit is stored and returned when the edit is resent.
pub const REFUSED_RETENTION_MS: u64 = 10 * 60 * 1000;
