//! Policies to compare with.
//!
//! Three of them decide at each of the entry instances, from its own view: reports as old as they
//! arrive, and what this entry itself sent since the report was true. They queue nothing; engines
//! queue in order of priority and arrival. The fourth reserves the maximum length centrally.

mod entry_view;
mod least_requests;
mod power_of_two;
mod reservation;
mod round_robin;

use dispatch::{Dispatcher, Policy, Settings};

pub use least_requests::LeastRequests;
pub use power_of_two::PowerOfTwo;
pub use reservation::Reservation;
pub use round_robin::RoundRobin;

/// Names of all policies, the product's first.
pub const POLICIES: [&str; 5] = [
    "permits",
    "round-robin",
    "least-requests",
    "power-of-two",
    "reservation",
];

/// A policy and where it decides.
pub struct Candidate {
    /// Whether it sits with the owner of all replicas rather than at the entries.
    pub central: bool,
    /// The policy.
    pub policy: Box<dyn Policy>,
}

/// Builds a policy by name.
#[must_use]
pub fn build(name: &str, seed: u64) -> Option<Candidate> {
    let (central, policy): (bool, Box<dyn Policy>) = match name {
        "least-requests" => (false, Box::new(LeastRequests::new(seed))),
        "permits" => (true, Box::new(Dispatcher::new(Settings::default(), seed))),
        "power-of-two" => (false, Box::new(PowerOfTwo::new(seed))),
        "reservation" => (true, Box::new(Reservation::new())),
        "round-robin" => (false, Box::new(RoundRobin::new(seed))),
        _ => return None,
    };
    Some(Candidate { central, policy })
}
