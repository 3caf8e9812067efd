//! Permits for requests to endpoints that have named a limit on the requests of all instances.

use std::sync::Arc;

use registry::{EndpointLimit, PermitAnswer, PermitRequest};
use slog::{debug, info};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep};

use super::{Fleet, FleetState, PlacementRequest};
use crate::endpoint::Endpoint;
use crate::gateway_state::GatewayState;

/// Most permits that one call requests.
const BATCH_MAX: usize = 64;

/// Permit that a request needs, or that one has used without having it.
#[derive(Debug)]
pub(crate) struct NeededPermit {
    endpoint: Arc<Endpoint>,
    is_taken: bool,
}

/// Sends the need for permits to the task that requests them.
#[derive(Debug)]
pub(crate) struct PermitRequester(mpsc::UnboundedSender<NeededPermit>);

impl PermitRequester {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<NeededPermit>) {
        let (sender, needed_permits) = mpsc::unbounded_channel();
        (Self(sender), needed_permits)
    }

    fn request(&self, endpoint: &Arc<Endpoint>, is_taken: bool) {
        let needed = NeededPermit {
            endpoint: Arc::clone(endpoint),
            is_taken,
        };
        // The receiving task runs as long as the runtime, so this does not fail before.
        let _ = self.0.send(needed);
    }
}

impl Fleet {
    /// Requests permits of the limited endpoints for a request and those that wait before it.
    pub(super) fn request_permits(&self, state: &FleetState, placement: &PlacementRequest) {
        let now_ms = self.now_ms();
        let waiting_requests = usize::try_from(state.count_ahead(placement)).unwrap_or(usize::MAX);
        let not_excluded = state
            .suitable(placement)
            .filter(|known| !placement.excluded_ids.contains(&known.endpoint.id));
        for known in not_excluded {
            let mut notice = known.endpoint.notice();
            let permits = notice
                .limit
                .begin_requests(now_ms, waiting_requests.saturating_add(1));
            for _ in 0..permits {
                self.permit_requests.request(&known.endpoint, false);
            }
        }
    }

    /// Uses a permit for a request to an endpoint. A request that is sent without one, such as one that
    /// returns to the endpoint which has stopped its generation, is counted afterwards.
    pub(super) fn use_permit(&self, now_ms: u64, endpoint: &Arc<Endpoint>) {
        if !endpoint.notice().limit.use_permit(now_ms) {
            self.permit_requests.request(endpoint, true);
        }
    }

    /// Limits that responses told this instance.
    pub(crate) fn report_limits(&self) -> Vec<EndpointLimit> {
        let now_ms = self.now_ms();
        let state = self.lock();
        let known = state.endpoints.iter();
        known
            .filter_map(|known| {
                let (age_ms, requests_per_1000_s) =
                    known.endpoint.notice().limit.own_report(now_ms)?;
                Some(EndpointLimit {
                    age_ms,
                    id: known.endpoint.id.clone(),
                    requests_per_1000_s,
                    started_at_ms: known.started_at_ms,
                })
            })
            .collect()
    }

    /// Applies the limits that other instances reported; returns those that have changed.
    pub(crate) fn apply_limits<'a>(&self, limits: &'a [EndpointLimit]) -> Vec<&'a EndpointLimit> {
        let now_ms = self.now_ms();
        let state = self.lock();
        let is_changed = |limit: &&EndpointLimit| {
            let found = state
                .endpoints
                .binary_search_by(|known| known.endpoint.id.cmp(&limit.id));
            let Ok(at) = found else { return false };
            let known = &state.endpoints[at];
            let mut notice = known.endpoint.notice();
            known.started_at_ms == limit.started_at_ms
                && notice
                    .limit
                    .apply_report(now_ms, limit.age_ms, limit.requests_per_1000_s)
        };
        limits.iter().filter(is_changed).collect()
    }
}

/// Requests the permits that are needed, all that have come up during the last call in the next one.
pub(crate) async fn run_permit_requests(
    gateway: Arc<GatewayState>,
    mut needed_permits: mpsc::UnboundedReceiver<NeededPermit>,
) {
    let mut needed = Vec::new();
    while needed_permits.recv_many(&mut needed, BATCH_MAX).await > 0 {
        request_batch(&gateway, &needed).await;
        needed.clear();
        gateway.fleet.serve_queue();
    }
}

async fn request_batch(gateway: &Arc<GatewayState>, needed: &[NeededPermit]) {
    let requests = needed.iter().map(|permit| {
        let limit = permit.endpoint.notice().limit.requests_per_1000_s();
        PermitRequest {
            id: permit.endpoint.id.clone(),
            is_taken: permit.is_taken,
            // A limit that has ended since restricts nothing.
            requests_per_1000_s: limit.unwrap_or(u64::MAX),
            started_at_ms: permit.endpoint.started_at_ms,
        }
    });
    let requests: Vec<PermitRequest> = requests.collect();
    let answers = gateway.subscription.request_permits(&requests).await;
    let now_ms = gateway.fleet.now_ms();
    let answers = match answers {
        Ok(answers) => answers,
        Err(error) => {
            info!(gateway.log, "permits not requested"; "permits" => needed.len(),
                "error" => %error);
            let instances = gateway.subscription.subscriber_count();
            for permit in needed.iter().filter(|permit| !permit.is_taken) {
                gateway.metrics.record_permit("unanswered");
                let mut notice = permit.endpoint.notice();
                notice
                    .limit
                    .apply_failure(now_ms, instances, rand::random());
            }
            return;
        }
    };
    for (permit, answer) in needed.iter().zip(answers) {
        debug!(gateway.log, "permit answered"; "endpoint" => &permit.endpoint.id,
            "answer" => ?answer, "is_taken" => permit.is_taken);
        if permit.is_taken {
            gateway.metrics.record_permit("taken");
            continue;
        }
        gateway.metrics.record_permit(match answer {
            PermitAnswer::Granted { .. } => "granted",
            PermitAnswer::Refused { .. } => "refused",
        });
        let mut notice = permit.endpoint.notice();
        notice.limit.apply_answer(now_ms, answer);
        let wait_ms = notice.limit.wait_ms(now_ms);
        drop(notice);
        if wait_ms > 0 {
            tokio::spawn(serve_queue_after(Arc::clone(gateway), wait_ms));
        }
    }
}

/// Serves the queue when a permit becomes valid, or may be requested again.
async fn serve_queue_after(gateway: Arc<GatewayState>, wait_ms: u64) {
    sleep(Duration::from_millis(wait_ms)).await;
    gateway.fleet.serve_queue();
}
