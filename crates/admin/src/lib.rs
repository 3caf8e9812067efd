//! HTTP interface for operators, and its client.
//!
//! [`AdminServer`] serves the interface that `docs/INTERFACES-ADMIN.md` describes, on data from a
//! [`Backend`]. [`AdminClient`] sends requests to it, and [`render`] formats the responses as
//! aligned text for the command line.
//!
//! Every request except health, readiness and metrics checks is authorised by the role of the
//! operator's key. Body sizes, times and the number of connections are limited, so that no client
//! can block the interface for others.

mod acceptor;
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

pub use backend::{Backend, BackendError, MetricsSource, Operator, TableVisitor};
pub use client::{AdminClient, KeyOwner};
pub use error::Error;
pub use fleet::{EndpointStatus, InstanceStatus, LocalInstanceStatus, Readiness};
pub use response::Response;
pub use server::AdminServer;

/// Longest request body, except for table files.
pub const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Most open connections.
pub const CONNECTIONS_MAX: usize = 128;

/// Longest table file in a request body.
pub const CSV_BYTES_MAX: usize = 24 * 1024 * 1024;

/// Header with the id of an edit, which makes a retry after a lost response idempotent.
pub const EDIT_ID_HEADER: &str = "gentiancleat-edit-id";

/// Time limit for receiving the headers of a request.
pub const HEADERS_TIMEOUT_MS: u64 = 10_000;

/// Time limit for receiving the body of a request.
pub const REQUEST_BODY_TIMEOUT_MS: u64 = 30_000;

/// Longest time that a request waits until its edit is in force on all instances.
pub const WAIT_IN_FORCE_MAX_MS: u64 = 15_000;
