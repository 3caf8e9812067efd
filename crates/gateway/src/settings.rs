use std::net::SocketAddr;
use std::sync::Arc;

use registry::SubscriptionSettings;
use slog::Logger;
use telemetry::ServingMetrics;

use crate::{Dialect, RetryLimits};

/// What a gateway is bound with.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Names and formats of clients and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// Longest time from the start of a planned stop to its end.
    pub drain_timeout_ms: u64,
    /// Where events are logged.
    pub log: Logger,
    /// Metrics.
    pub metrics: Arc<ServingMetrics>,
    /// Where this instance is.
    pub topology: Topology,
    /// Where the balancer asks whether this instance takes new connections.
    pub ready_address: SocketAddr,
    /// Path of that question.
    pub ready_path: &'static str,
    /// Limits on repeated sendings.
    pub retry_limits: RetryLimits,
    /// How the registries are followed.
    pub subscription: SubscriptionSettings,
}

/// Where an instance is, and how its data centres lie.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Its data centre.
    pub data_centre: String,
    /// Region of each data centre, sorted by data centre.
    pub regions: Vec<(String, String)>,
}

/// Round trip within a data centre, rounded up.
const NEAR_MS: u64 = 1;

/// Round trip between data centres of a region, as the deployments' sheets say.
const REGION_MS: u64 = 3;

/// Round trip between regions, as the deployments' sheets say.
const FAR_MS: u64 = 24;

/// How far two data centres lie apart, nearest first.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// Not at all.
    SameDataCentre,
    /// In one region.
    SameRegion,
    /// In different regions.
    OtherRegion,
}

impl Topology {
    /// Round trip from here to a data centre.
    #[must_use]
    pub fn distance_ms(&self, data_centre: &str) -> u64 {
        match self.distance(&self.data_centre, data_centre) {
            Distance::SameDataCentre => NEAR_MS,
            Distance::SameRegion => REGION_MS,
            Distance::OtherRegion => FAR_MS,
        }
    }

    /// How far two data centres lie apart.
    #[must_use]
    pub fn distance(&self, one: &str, other: &str) -> Distance {
        if one == other {
            return Distance::SameDataCentre;
        }
        match (self.region(one), self.region(other)) {
            (Some(one), Some(other)) if one == other => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    fn region(&self, data_centre: &str) -> Option<&str> {
        let found = self
            .regions
            .binary_search_by(|known| known.0.as_str().cmp(data_centre));
        found.ok().map(|at| self.regions[at].1.as_str())
    }
}
