//! Customers' rows, edits and revisions.
