use crate::Repeat;

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Most endpoints that one request may run on.
    pub attempts_max: u32,
    /// Longest pause between events that a client takes as undisturbed; 0 where none is named.
    pub gap_target_ms: u64,
    /// Host, in lowercase and without a port.
    pub host: String,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// Name.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Rank, 0 first.
    pub priority: u32,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Time within which an answer is worth most.
    pub target_latency_ms: u64,
    /// Services that share its requests.
    pub targets: Vec<Target>,
    /// Longest time that a client is kept waiting.
    pub timeout_ms: u64,
}

/// A service that gets a part of a route's requests.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its part, relative to the sum of all.
    pub weight: u64,
}

impl Route {
    /// Service for a request, by a number drawn evenly from all of `u64`.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> &str {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw % total.max(1);
        for target in &self.targets {
            if rest < target.weight {
                return &target.service;
            }
            rest -= target.weight;
        }
        &self.targets[0].service
    }
}
