use crate::{Customer, Route, Service};

/// Content of a document before it is checked.
#[derive(Debug)]
pub struct UncheckedDocument {
    /// Customers; without any, requests need no key.
    pub customers: Option<Vec<Customer>>,
    /// Limits on clients.
    pub limits: Limits,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Version; the highest is in force.
    pub version: u64,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest request body.
    pub body_bytes_max: usize,
    /// Longest request head.
    pub head_bytes_max: usize,
    /// Longest time for a request head.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may rest.
    pub idle_timeout_ms: u64,
}

/// Bounds that hold where a document names none: common defaults of HTTP servers.
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
