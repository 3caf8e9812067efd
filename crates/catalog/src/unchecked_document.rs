use serde::{Deserialize, Serialize};

use crate::{Customer, Route, Service};

/// Parsed configuration document that is not validated yet.
#[derive(Debug)]
pub struct UncheckedDocument {
    /// Customers; `None` means that requests need no key.
    pub customers: Option<Vec<Customer>>,
    /// Limits on the requests of clients.
    pub limits: Limits,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services, in any order.
    pub services: Vec<Service>,
    /// Version; the document with the highest version is in force.
    pub version: u64,
}

/// Limits on the size and timing of client requests.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Most bytes of a request body.
    pub body_bytes_max: usize,
    /// Most bytes of a request head.
    pub head_bytes_max: usize,
    /// Longest time to receive a request head.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

/// Limits of a document that sets none: common defaults of HTTP servers.
impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 4 * 1024 * 1024,
            head_bytes_max: 16 * 1024,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}
