//! Dispatch policies that the experiment compares with.
//!
//! Three of them decide at the entry instances, each from its own view of the load: the last load
//! reports, and the requests that this entry sent since. They queue nothing; engines queue by
//! priority and arrival. The fourth reserves memory for the maximum length centrally.

mod entry_views;
mod per_entry_policy;
mod reservation_policy;

use dispatch::{Dispatcher, Policy, Settings};

pub use per_entry_policy::{EndpointChoice, PerEntryPolicy};
pub use reservation_policy::ReservationPolicy;

/// Names of all policies; the first is the product's.
pub const POLICIES: [&str; 5] = [
    "permits",
    "round-robin",
    "least-requests",
    "power-of-two",
    "reservation",
];

/// A policy and where it runs.
pub struct PolicySetup {
    /// Whether the policy runs at the shard owner instead of at the entry instances.
    pub is_central: bool,
    /// The policy.
    pub policy: Box<dyn Policy>,
}

/// Builds a policy by its name; none for an unknown name.
#[must_use]
pub fn build(name: &str, seed: u64) -> Option<PolicySetup> {
    let per_entry = |choice| -> Box<dyn Policy> { Box::new(PerEntryPolicy::new(choice, seed)) };
    let (is_central, policy): (bool, Box<dyn Policy>) = match name {
        "least-requests" => (false, per_entry(EndpointChoice::LeastRequests)),
        "permits" => (true, Box::new(Dispatcher::new(Settings::default(), seed))),
        "power-of-two" => (false, per_entry(EndpointChoice::PowerOfTwo)),
        "reservation" => (true, Box::new(ReservationPolicy::new())),
        "round-robin" => (false, per_entry(EndpointChoice::RoundRobin)),
        _ => return None,
    };
    Some(PolicySetup { is_central, policy })
}
