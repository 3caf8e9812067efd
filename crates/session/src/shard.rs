use std::fmt::{self, Display, Formatter};

use names::{EndpointName, ModelName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::rendezvous::score;

/// Name of the model or service that an endpoint offers.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum OfferName {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// Group of endpoints of one region and offer that share one owner.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Shard {
    /// Number within the region and offer.
    pub number: u16,
    /// Model or service that its endpoints offer.
    pub offer: OfferName,
    /// Region of its endpoints.
    pub region: RegionName,
}

impl Shard {
    /// The shard of an endpoint whose region and offer are split into `shards_per_offer` shards.
    ///
    /// # Panics
    ///
    /// Panics if `shards_per_offer` is zero.
    #[must_use]
    pub fn of_endpoint(
        endpoint: &EndpointName,
        offer: &OfferName,
        region: &RegionName,
        shards_per_offer: u16,
    ) -> Self {
        assert!(shards_per_offer > 0, "an offer has at least one shard");
        let number = (0..shards_per_offer)
            .max_by_key(|number| score(endpoint.as_str(), &number.to_le_bytes()))
            .unwrap_or(0);
        Self {
            number,
            offer: offer.clone(),
            region: region.clone(),
        }
    }
}

impl Display for OfferName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model/{model}"),
            Self::Service(service) => write!(f, "service/{service}"),
        }
    }
}

impl Display for Shard {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.region, self.offer, self.number)
    }
}
