use serde::{Deserialize, Serialize};

use crate::RetryClass;

/// Route from one host and path prefix to the services that handle its requests.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Most attempts of one request that may have run; rejected attempts do not count.
    pub attempts_max: u32,
    /// Longest gap between two events of a stream that a client does not notice; 0 means no target.
    pub event_gap_target_ms: u64,
    /// Host, in lowercase and without a port.
    pub host: String,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// Name of the route.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    /// Whether its requests may be retried.
    pub retry_class: RetryClass,
    /// Services that share its requests by weight.
    pub services: Vec<WeightedService>,
    /// Latency up to which a response has its full value to the client.
    pub target_latency_ms: u64,
    /// Longest time that a client waits for a response.
    pub timeout_ms: u64,
}

/// Service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service_name: String,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u64,
}

impl Route {
    /// Picks a service by weight, from a number drawn uniformly from all of `u64`.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self.services.iter().map(|service| service.weight).sum();
        let mut remaining = random % total.max(1);
        for service in &self.services {
            if remaining < service.weight {
                return &service.service_name;
            }
            remaining -= service.weight;
        }
        &self.services[0].service_name
    }
}
