//! Limits that endpoints name on the requests that they take from all instances together.
//!
//! Instances report the limits that responses named to them, and the newest report of an endpoint holds.
//! Each request to a limited endpoint needs a permit of the aggregating registry, which spaces the permits
//! of one endpoint by its limit. So the requests of all instances keep it, and an instance gets as many
//! permits as it has requests for, whatever the others leave.

use serde::{Deserialize, Serialize};

/// Time ahead of which permits are granted. Plain requests wait about as long.
const GRANT_AHEAD_MS: u64 = 500;

/// Requests in 1,000 s at least, so that the end of a limit of 0 is noticed.
const REQUESTS_PER_1000_S_MIN: u64 = 100;

/// Time between two requests of one instance for permits that are refused, per instance; limits the calls
/// to the aggregating registry to 200 a second.
const RETRY_MS_PER_INSTANCE: u64 = 5;

/// Longest time after which an instance requests a refused permit again, so that a raised limit is used.
const RETRY_MS_MAX: u64 = 2_000;

/// Time without a report or a request after which a limit is forgotten. Instances that know it tell it
/// again with their requests for permits.
const RETENTION_MS: u64 = 600_000;

/// What the last response of an endpoint that an instance got says of its limit.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLimit {
    /// Time since the response, or since its request was sent if it ended a limit.
    pub age_ms: u64,
    /// Name of the endpoint.
    pub id: String,
    /// Requests in 1,000 s that it takes from all instances; `None` if it names no limit any more.
    pub requests_per_1000_s: Option<u64>,
    /// Start of its incarnation, in ms since the Unix epoch.
    pub started_at_ms: u64,
}

/// Request for permits to send requests to a limited endpoint.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Name of the endpoint.
    pub id: String,
    /// Whether the request is sent in any case, and its permit is only to be counted.
    pub is_taken: bool,
    /// Requests in 1,000 s that the endpoint takes, as the instance knows.
    pub requests_per_1000_s: u64,
    /// Start of its incarnation, in ms since the Unix epoch.
    pub started_at_ms: u64,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitAnswer {
    /// One request may be sent from a time after now on.
    Granted {
        /// The time until then.
        after_ms: u64,
    },
    /// Other requests take what the limit allows.
    Refused {
        /// Time after which a permit may be requested again.
        retry_after_ms: u64,
    },
}

/// Limits of all endpoints that have named one, with the permits granted.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    /// Sorted by id.
    endpoints: Vec<LimitedEndpoint>,
}

#[derive(Debug)]
struct LimitedEndpoint {
    id: String,
    /// Time up to which the limit is known.
    known_at_ms: u64,
    next_permit_us: u64,
    requests_per_1000_s: Option<u64>,
    started_at_ms: u64,
    used_at_ms: u64,
}

impl EndpointLimits {
    /// Applies a report of an instance unless a newer one is known.
    pub fn record(&mut self, now_ms: u64, limit: &EndpointLimit) {
        let known_at_ms = now_ms.saturating_sub(limit.age_ms);
        let endpoint = self.find_or_add(now_ms, &limit.id, limit.started_at_ms);
        if endpoint.started_at_ms == limit.started_at_ms && known_at_ms >= endpoint.known_at_ms {
            endpoint.known_at_ms = known_at_ms;
            endpoint.requests_per_1000_s = limit.requests_per_1000_s;
        }
    }

    /// Limits of the endpoints that `is_subscribed`, sorted by endpoint; also those that have ended.
    pub fn published(
        &self,
        now_ms: u64,
        is_subscribed: impl Fn(&str) -> bool,
    ) -> Vec<EndpointLimit> {
        let subscribed = self
            .endpoints
            .iter()
            .filter(|known| is_subscribed(&known.id));
        subscribed
            .filter(|known| known.known_at_ms > 0)
            .map(|known| EndpointLimit {
                age_ms: now_ms.saturating_sub(known.known_at_ms),
                id: known.id.clone(),
                requests_per_1000_s: known.requests_per_1000_s,
                started_at_ms: known.started_at_ms,
            })
            .collect()
    }

    /// Grants a permit if the endpoint's limit allows another request soon.
    pub fn grant(&mut self, now_ms: u64, request: &PermitRequest, instances: u64) -> PermitAnswer {
        let endpoint = self.find_or_add(now_ms, &request.id, request.started_at_ms);
        let known = endpoint.requests_per_1000_s;
        let requests_per_1000_s = known.unwrap_or(request.requests_per_1000_s);
        let permit_us = endpoint.next_permit_us.max(now_ms * 1_000);
        let after_ms = permit_us.div_ceil(1_000) - now_ms;
        if !request.is_taken && after_ms > GRANT_AHEAD_MS {
            let retry_after_ms = (after_ms - GRANT_AHEAD_MS).min(RETRY_MS_MAX);
            return PermitAnswer::Refused {
                retry_after_ms: retry_after_ms.max(instances * RETRY_MS_PER_INSTANCE),
            };
        }
        endpoint.next_permit_us = permit_us + interval_us(requests_per_1000_s);
        PermitAnswer::Granted { after_ms }
    }

    /// Forgets limits that no instance has used for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|known| now_ms.saturating_sub(known.used_at_ms) < RETENTION_MS);
    }

    fn find_or_add(&mut self, now_ms: u64, id: &str, started_at_ms: u64) -> &mut LimitedEndpoint {
        let added = LimitedEndpoint {
            id: id.to_owned(),
            known_at_ms: 0,
            next_permit_us: 0,
            requests_per_1000_s: None,
            started_at_ms,
            used_at_ms: now_ms,
        };
        let found = self
            .endpoints
            .binary_search_by(|known| known.id.as_str().cmp(id));
        let at = match found {
            Ok(at) => {
                if self.endpoints[at].started_at_ms < started_at_ms {
                    self.endpoints[at] = added;
                }
                at
            }
            Err(at) => {
                self.endpoints.insert(at, added);
                at
            }
        };
        let endpoint = &mut self.endpoints[at];
        endpoint.used_at_ms = now_ms;
        endpoint
    }
}

/// Time between two requests that keep a limit.
#[must_use]
pub fn interval_us(requests_per_1000_s: u64) -> u64 {
    1_000_000_000 / requests_per_1000_s.max(REQUESTS_PER_1000_S_MIN)
}
