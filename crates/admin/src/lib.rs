//! Operators' HTTP interface and its client.
//!
//! [`AdminServer`] serves the interface that `docs/INTERFACES-ADMIN.md` describes; what it shows and
//! changes lies behind the [`Backend`] trait. [`AdminClient`] calls it, and [`render`] turns its answers
//! into aligned text for the command line.
//!
//! Every call but the health, readiness and metrics checks is authorised by the role of the
//! operator's key. Sizes, times and numbers of connections are bounded, so that no client can hold
//! the interface.

mod admin;
mod backend;
mod body;
mod client;
mod csv_handler;
mod edit_handler;
mod error;
mod fleet;
mod fleet_handler;
mod handler;
mod key_document;
mod key_handler;
mod percent;
mod precondition;
mod problem_document;
mod random;
pub mod render;
mod response;
mod route;
mod row_document;
mod row_handler;
mod server;

pub use admin::AdminServer;
pub use backend::{Backend, BackendError, MetricsSource, Operator, TableVisitor};
pub use client::{AdminClient, KeyHolder};
pub use error::Error;
pub use fleet::{EndpointStatus, InstanceStatus, Readiness, Status};
pub use response::Response;

/// Longest body of a request for one row, key, kind or batch.
pub const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Most connections at once.
pub const CONNECTIONS_MAX: usize = 128;

/// Longest table file.
pub const CSV_BYTES_MAX: usize = 24 * 1024 * 1024;

/// Header that names an edit, so that it can be sent again after a lost answer.
pub const EDIT_ID_HEADER: &str = "gentiancleat-edit-id";

/// Time in which the headers of a request must arrive.
pub const HEADERS_TIMEOUT_MS: u64 = 10_000;

/// Time in which the body of a request must arrive.
pub const REQUEST_BODY_TIMEOUT_MS: u64 = 30_000;

/// Longest wait for an edit to be in force.
pub const WAIT_IN_FORCE_MAX_MS: u64 = 15_000;
