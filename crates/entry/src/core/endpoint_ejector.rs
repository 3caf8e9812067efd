//! Ejection of failing endpoints.
//!
//! An endpoint with several consecutive failures is ejected for a time that doubles with each
//! ejection. Its share of new requests then grows linearly to the full share. Only a part of the
//! endpoints with the same offer may be ejected at once: if most of them fail, the fault is
//! elsewhere, and ejections would only overload the rest.

use names::EndpointName;

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_MAX: u32 = 5;

/// Duration of the first ejection.
const EJECTION_US: u64 = 5_000_000;

/// Longest duration of an ejection.
const EJECTION_MAX_US: u64 = 60_000_000;

/// Time after an ejection in which an endpoint's share grows to the full share.
const SLOW_START_US: u64 = 10_000_000;

/// Smallest share of an endpoint after its ejection.
const SHARE_MIN_PER_MILLE: u32 = 100;

/// Divisor that gives how many peers may be ejected at once; of two or three peers, one may.
const EJECTED_DIVISOR: usize = 4;

/// Most endpoints that are kept.
const ENDPOINTS_MAX: usize = 20_000;

/// Ejects endpoints that fail repeatedly.
#[derive(Debug, Default)]
pub struct EndpointEjector {
    endpoints: Vec<EndpointHealth>,
}

/// How much of its normal share of new requests an endpoint should receive.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TrafficShare {
    /// No requests.
    Ejected {
        /// End of the ejection.
        until_us: u64,
    },
    /// The full share.
    Full,
    /// A growing part of the share.
    SlowStart {
        /// Thousandths of the full share.
        share_per_mille: u32,
    },
}

/// Failures and ejections of one endpoint.
#[derive(Debug)]
struct EndpointHealth {
    consecutive_failures: u32,
    ejected_until_us: Option<u64>,
    ejections: u32,
    endpoint: EndpointName,
}

impl EndpointEjector {
    /// Records a failure of an endpoint; returns whether this ejects it. `peers` are all endpoints
    /// with the same offer, including this one.
    pub fn record_failure(
        &mut self,
        now_us: u64,
        endpoint: &EndpointName,
        peers: &[EndpointName],
    ) -> bool {
        let ejected_peers = peers
            .iter()
            .filter(|peer| {
                matches!(
                    self.traffic_share(now_us, peer),
                    TrafficShare::Ejected { .. }
                )
            })
            .count();
        let may_eject = ejected_peers < ejected_max(peers.len());
        let health = self.health_mut(endpoint);
        health.consecutive_failures += 1;
        let is_ejected = health
            .ejected_until_us
            .is_some_and(|until_us| now_us < until_us);
        if is_ejected || !may_eject || health.consecutive_failures < FAILURES_MAX {
            return false;
        }
        let duration_us = (EJECTION_US << health.ejections.min(8)).min(EJECTION_MAX_US);
        health.ejections += 1;
        health.consecutive_failures = 0;
        health.ejected_until_us = Some(now_us + duration_us);
        true
    }

    /// Records a success of an endpoint.
    pub fn record_success(&mut self, now_us: u64, endpoint: &EndpointName) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let health = &mut self.endpoints[position];
        health.consecutive_failures = 0;
        if matches!(health.traffic_share(now_us), TrafficShare::Full) {
            self.endpoints.remove(position);
        }
    }

    /// Returns the share of new requests that an endpoint should receive.
    #[must_use]
    pub fn traffic_share(&self, now_us: u64, endpoint: &EndpointName) -> TrafficShare {
        self.position(endpoint)
            .map_or(TrafficShare::Full, |position| {
                self.endpoints[position].traffic_share(now_us)
            })
    }

    fn health_mut(&mut self, endpoint: &EndpointName) -> &mut EndpointHealth {
        if self.endpoints.len() >= ENDPOINTS_MAX {
            self.endpoints.clear();
        }
        let position = self.position(endpoint).unwrap_or_else(|position| {
            let health = EndpointHealth {
                consecutive_failures: 0,
                ejected_until_us: None,
                ejections: 0,
                endpoint: endpoint.clone(),
            };
            self.endpoints.insert(position, health);
            position
        });
        &mut self.endpoints[position]
    }

    fn position(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|health| health.endpoint.cmp(endpoint))
    }
}

impl EndpointHealth {
    fn traffic_share(&self, now_us: u64) -> TrafficShare {
        let Some(until_us) = self.ejected_until_us else {
            return TrafficShare::Full;
        };
        if now_us < until_us {
            return TrafficShare::Ejected { until_us };
        }
        let share_per_mille = (now_us - until_us).saturating_mul(1_000) / SLOW_START_US;
        match u32::try_from(share_per_mille) {
            Ok(share_per_mille) if share_per_mille < 1_000 => TrafficShare::SlowStart {
                share_per_mille: share_per_mille.max(SHARE_MIN_PER_MILLE),
            },
            _ => TrafficShare::Full,
        }
    }
}

/// Returns how many of `endpoints` endpoints may be ejected at once.
fn ejected_max(endpoints: usize) -> usize {
    match endpoints {
        0 | 1 => 0,
        2 | 3 => 1,
        _ => endpoints / EJECTED_DIVISOR,
    }
}
