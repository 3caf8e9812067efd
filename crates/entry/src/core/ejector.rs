//! Ejection of failing endpoints.
//!
//! An endpoint that fails several times in a row is ejected for a time that doubles with each
//! ejection, and comes back by a slow start: its share of new work grows evenly to the whole. Only
//! a part of the endpoints that serve the same thing may be ejected at once: when most of them
//! fail, the fault is elsewhere, and ejecting them would only overload the rest.

use names::EndpointName;

/// Failures in a row after which an endpoint is ejected.
const FAILURES_MAX: u32 = 5;

/// Time of the first ejection.
const EJECTION_US: u64 = 5_000_000;

/// Longest time of an ejection.
const EJECTION_MAX_US: u64 = 60_000_000;

/// Time in which the share of an endpoint grows to the whole.
const SLOW_START_US: u64 = 10_000_000;

/// Smallest share of an endpoint that comes back.
const SHARE_MIN_PER_MILLE: u32 = 100;

/// One in this many endpoints may be ejected, but one of two or three always.
const EJECTED_ONE_IN: usize = 4;

/// Most endpoints that are remembered.
const ENDPOINTS_MAX: usize = 20_000;

/// Tells which endpoints should receive less new work.
#[derive(Debug, Default)]
pub struct EndpointEjector {
    endpoints: Vec<Health>,
}

/// How much new work an endpoint should receive.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum TrafficShare {
    /// None.
    Ejected {
        /// When it comes back.
        until_us: u64,
    },
    /// A part of its share.
    SlowStart {
        /// The part, in thousandths.
        share_per_mille: u32,
    },
    /// Its whole share.
    Full,
}

#[derive(Debug)]
struct Health {
    ejections: u32,
    endpoint: EndpointName,
    failures_in_a_row: u32,
    until_us: Option<u64>,
}

impl EndpointEjector {
    /// Takes a failure of an endpoint that is one of `alike` endpoints that serve the same thing;
    /// whether it is ejected by that.
    pub fn record_failure(
        &mut self,
        now_us: u64,
        endpoint: &EndpointName,
        alike: &[EndpointName],
    ) -> bool {
        let ejected = alike
            .iter()
            .filter(|other| {
                matches!(
                    self.traffic_share(now_us, other),
                    TrafficShare::Ejected { .. }
                )
            })
            .count();
        let has_room = ejected < ejected_max(alike.len());
        let health = self.health(endpoint);
        health.failures_in_a_row += 1;
        let is_ejected = health.until_us.is_some_and(|until_us| now_us < until_us);
        if is_ejected || !has_room || health.failures_in_a_row < FAILURES_MAX {
            return false;
        }
        let time_us = (EJECTION_US << health.ejections.min(8)).min(EJECTION_MAX_US);
        health.ejections += 1;
        health.failures_in_a_row = 0;
        health.until_us = Some(now_us + time_us);
        true
    }

    /// Takes a success of an endpoint.
    pub fn record_success(&mut self, now_us: u64, endpoint: &EndpointName) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let health = &mut self.endpoints[position];
        health.failures_in_a_row = 0;
        if matches!(health.traffic_share(now_us), TrafficShare::Full) {
            self.endpoints.remove(position);
        }
    }

    /// How much new work an endpoint should receive.
    #[must_use]
    pub fn traffic_share(&self, now_us: u64, endpoint: &EndpointName) -> TrafficShare {
        self.position(endpoint)
            .map_or(TrafficShare::Full, |position| {
                self.endpoints[position].traffic_share(now_us)
            })
    }

    fn health(&mut self, endpoint: &EndpointName) -> &mut Health {
        if self.endpoints.len() >= ENDPOINTS_MAX {
            self.endpoints.clear();
        }
        let position = self.position(endpoint).unwrap_or_else(|position| {
            let health = Health {
                ejections: 0,
                endpoint: endpoint.clone(),
                failures_in_a_row: 0,
                until_us: None,
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

impl Health {
    fn traffic_share(&self, now_us: u64) -> TrafficShare {
        let Some(until_us) = self.until_us else {
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

/// Most of a number of endpoints that may be ejected at once.
fn ejected_max(endpoints: usize) -> usize {
    match endpoints {
        0 | 1 => 0,
        2 | 3 => 1,
        _ => endpoints / EJECTED_ONE_IN,
    }
}
