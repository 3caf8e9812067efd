use names::{EndpointName, RegionName};
use serde::{Deserialize, Serialize};
use session::{Endpoint, EndpointState, Shard};

/// An endpoint as operators see it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct EndpointView {
    /// Where it listens.
    pub address: String,
    /// Age of its last announcement.
    pub age_ms: u64,
    /// Its name.
    pub endpoint: EndpointName,
    /// Model or service.
    pub offer: String,
    /// Its region.
    pub region: RegionName,
    /// Requests that it runs, as it reported.
    pub running: u32,
    /// Shard that it belongs to.
    pub shard: String,
    /// Whether it takes new work.
    pub state: EndpointState,
}

impl EndpointView {
    pub(crate) fn new(now_ms: u64, shard: &Shard, endpoint: &Endpoint) -> Self {
        let announcement = &endpoint.announcement;
        Self {
            address: announcement.address.to_string(),
            age_ms: now_ms.saturating_sub(endpoint.heard_ms),
            endpoint: endpoint.name.clone(),
            offer: announcement.offer.name().to_string(),
            region: announcement.region.clone(),
            running: announcement.report.as_ref().map_or(0, |load| load.running),
            shard: shard.to_string(),
            state: announcement.state,
        }
    }
}
