//! Policies to compare with.
//!
//! Three of them decide at each of the entry instances, from its own view: reports as old as they
//! arrive, and what this entry itself sent since the report was true. They queue nothing; engines
//! queue in order of priority and arrival. The fourth reserves the maximum length centrally.

mod entry_policy;
mod entry_view;
mod reservation;

use dispatch::{Dispatcher, Policy, Settings};

pub use entry_policy::{EndpointChoice, PerEntryPolicy};
pub use reservation::ReservationPolicy;

/// Names of all policies, the product's first.
pub const POLICIES: [&str; 5] = [
    "permits",
    "round-robin",
    "least-requests",
    "power-of-two",
    "reservation",
];

/// A policy and where it decides.
pub struct PolicySetup {
    /// Whether it sits with the owner of all replicas rather than at the entries.
    pub is_central: bool,
    /// The policy.
    pub policy: Box<dyn Policy>,
}

/// Builds a policy by name.
#[must_use]
pub fn build(name: &str, seed: u64) -> Option<PolicySetup> {
    let entries = |choice| -> Box<dyn Policy> { Box::new(PerEntryPolicy::new(choice, seed)) };
    let (is_central, policy): (bool, Box<dyn Policy>) = match name {
        "least-requests" => (false, entries(EndpointChoice::LeastRequests)),
        "permits" => (true, Box::new(Dispatcher::new(Settings::default(), seed))),
        "power-of-two" => (false, entries(EndpointChoice::PowerOfTwo)),
        "reservation" => (true, Box::new(ReservationPolicy::new())),
        "round-robin" => (false, entries(EndpointChoice::RoundRobin)),
        _ => return None,
    };
    Some(PolicySetup { is_central, policy })
}
