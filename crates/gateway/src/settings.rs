use std::net::SocketAddr;
use std::sync::Arc;

use registry::SubscriptionSettings;
use slog::Logger;
use telemetry::GatewayMetrics;

use crate::{Dialect, RetryLimits};

/// Settings of a [`Gateway`](crate::Gateway).
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Address on which clients connect.
    pub client_address: SocketAddr,
    /// Headers and message formats of clients and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// Time limit of a drain, including the exit of the process.
    pub drain_timeout_ms: u64,
    /// Logger of the gateway.
    pub log: Logger,
    /// Metrics that the gateway records.
    pub metrics: Arc<GatewayMetrics>,
    /// Address on which the load balancer checks readiness.
    pub ready_address: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Limits on retries.
    pub retry_limits: RetryLimits,
    /// Settings of the subscription to the registries.
    pub subscription: SubscriptionSettings,
    /// Data centres of the deployment.
    pub topology: Topology,
}

/// Data centre of this instance, and the region of each data centre.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Data centre of this instance.
    pub data_centre: String,
    /// Region of each data centre, sorted by data centre.
    pub regions: Vec<(String, String)>,
}

/// Round trip within a data centre, rounded up.
const DATA_CENTRE_ROUND_TRIP_MS: u64 = 1;

/// Round trip between data centres of a region, as the deployments' data sheets say.
const REGION_ROUND_TRIP_MS: u64 = 3;

/// Round trip between regions, as the deployments' data sheets say.
const OTHER_REGION_ROUND_TRIP_MS: u64 = 24;

/// Network distance between two data centres, nearest first.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// They are the same data centre.
    SameDataCentre,
    /// Both are in one region.
    SameRegion,
    /// They are in different regions, or a region is unknown.
    OtherRegion,
}

impl Topology {
    /// Round trip from this instance to a data centre.
    #[must_use]
    pub fn round_trip_ms(&self, data_centre: &str) -> u64 {
        match self.distance(&self.data_centre, data_centre) {
            Distance::SameDataCentre => DATA_CENTRE_ROUND_TRIP_MS,
            Distance::SameRegion => REGION_ROUND_TRIP_MS,
            Distance::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
        }
    }

    /// Distance between two data centres.
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
