//! Endpoints that this instance knows, and the queue of requests that wait for free capacity.

mod candidates;
mod known_endpoint;
mod limits;
mod past_incarnations;
mod pending_reservation;
mod prefill;
mod recent_placements;
mod slot;
mod subset;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::{Catalog, EngineSpec};
use placement::{Candidate, Demand, Load, PrefillSlowness, choose_candidate};
use registry::{
    AggregatedLoads, CoveredReservations, EndpointLoad, EndpointState, StreamOrigin,
    SubscribedEndpoints,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::clock::elapsed_ms;
use crate::endpoint::Endpoint;
use crate::outcome::RequestError;
use crate::retry_after_schedule::RETRY_AFTER_MS_MAX;
use crate::{RetryAfterSchedule, Topology, WaitQueue};
use known_endpoint::{KnownEndpoint, choose_subset, update_slowness};
pub(crate) use limits::{PermitRequester, run_permit_requests};
use past_incarnations::PastIncarnations;
pub(crate) use pending_reservation::PendingReservation;
use recent_placements::{RATE_WINDOW_MS, RecentPlacements};
pub(crate) use slot::Slot;
pub use subset::{subset_key, subset_key_max};

/// Assumed interval between requests served from the queue, before the first one is served.
const SERVE_INTERVAL_MS_DEFAULT: u64 = 200;

const SERVE_INTERVAL_MS_MAX: u64 = 2_000;

const SERVE_INTERVAL_SMOOTHING_DIVISOR: u64 = 4;

/// Most endpoints in a reservation request. The best of a few by fresh aggregated loads spreads
/// requests nearly as well as the best of all, and the request stays short in a large fleet.
const RESERVATION_OPTIONS_MAX: usize = 16;

/// Known endpoints, their loads and the queue of this instance.
#[derive(Debug)]
pub(crate) struct Fleet {
    permit_requests: PermitRequester,
    started_at: Instant,
    state: Mutex<FleetState>,
    subset_seed: u64,
    topology: Topology,
}

/// State of a [`Fleet`] that its lock protects.
#[derive(Debug, Default)]
struct FleetState {
    catalog: Option<Arc<Catalog>>,
    /// Sorted by id.
    endpoints: Vec<KnownEndpoint>,
    exchange_interval_ms: u64,
    instances: u32,
    /// Whether the aggregating registry has been sent the ids of the subset.
    is_subset_sent: bool,
    last_served_ms: u64,
    past_incarnations: PastIncarnations,
    /// Slowness of the prefill by service, sorted by service.
    prefill_slowness: Vec<(String, PrefillSlowness)>,
    queue: WaitQueue<QueuedRequest>,
    recent_generations: RecentPlacements,
    recent_plain_requests: RecentPlacements,
    reservations: CoveredReservations,
    retry_after_schedule: RetryAfterSchedule,
    serve_interval_ms: u64,
    /// Sorted ids of the endpoints in the subscribed subset; empty if it holds all endpoints.
    subset: Vec<String>,
}

/// Placement that a queued request waits for, and the channel that receives its slot.
#[derive(Debug)]
struct QueuedRequest {
    /// Time at which it stops waiting.
    deadline_ms: u64,
    placement: PlacementRequest,
    slot_sender: oneshot::Sender<Slot>,
}

/// Request for capacity on an endpoint of a service.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    pub(crate) demand: Demand,
    pub(crate) excluded_ids: Vec<String>,
    pub(crate) priority: u32,
    pub(crate) service: String,
    /// Only software version that may serve it, as it continues a stream; `None` for any.
    pub(crate) software_version: Option<String>,
    /// Data centre of the source endpoint; `None` unless this is a migration.
    pub(crate) source_data_centre: Option<String>,
    pub(crate) wait_ms_max: u64,
}

impl PlacementRequest {
    fn allows_version(&self, software_version: &str) -> bool {
        let required = self.software_version.as_deref();
        required.is_none_or(|required| required == software_version)
    }

    /// Requests of one key wait for each other; those bound to a version wait for that version only.
    fn queue_key(&self) -> String {
        let version = self.software_version.as_deref();
        version.map_or_else(
            || self.service.clone(),
            |version| format!("{} {version}", self.service),
        )
    }

    /// Whether it has too few candidates to be limited to the subscribed subset.
    fn may_leave_subset(&self) -> bool {
        self.software_version.is_some() || self.source_data_centre.is_some()
    }
}

impl Fleet {
    pub(crate) fn new(topology: Topology, permit_requests: PermitRequester) -> Arc<Self> {
        Arc::new(Self {
            permit_requests,
            started_at: Instant::now(),
            state: Mutex::new(FleetState {
                serve_interval_ms: SERVE_INTERVAL_MS_DEFAULT,
                ..FleetState::default()
            }),
            subset_seed: rand::random(),
            topology,
        })
    }

    /// Time since the fleet was created.
    pub(crate) fn now_ms(&self) -> u64 {
        elapsed_ms(self.started_at)
    }

    pub(crate) fn set_catalog(self: &Arc<Self>, catalog: &Arc<Catalog>) {
        self.lock().catalog = Some(Arc::clone(catalog));
        self.serve_queue();
    }

    /// Sets the known endpoints, sorted by id; those that are missing now are marked as leaving.
    pub(crate) fn set_endpoints(self: &Arc<Self>, endpoints: &[registry::EndpointView]) {
        let now_ms = self.now_ms();
        let mut guard = self.lock();
        let state = &mut *guard;
        let previous = std::mem::take(&mut state.endpoints);
        let mut previous = previous.into_iter().peekable();
        for endpoint in endpoints {
            let registration = &endpoint.registration;
            while let Some(gone) = previous.next_if(|known| known.endpoint.id < registration.id) {
                gone.endpoint.set_leaving();
                state.past_incarnations.add(now_ms, &gone);
            }
            let same_id = previous.next_if(|known| known.endpoint.id == registration.id);
            let same_incarnation = match same_id {
                Some(known) if known.is_same_incarnation(registration) => Some(known),
                Some(older) => {
                    older.endpoint.set_leaving();
                    state.past_incarnations.add(now_ms, &older);
                    None
                }
                None => None,
            };
            let mut known = same_incarnation.unwrap_or_else(|| {
                let past = &state.past_incarnations;
                let notice = past.notice(&registration.id, registration.started_at_ms);
                KnownEndpoint::new(registration, notice)
            });
            known.is_cold = registration.cold_left_ms > 0;
            known.is_silent = endpoint.is_silent;
            known.slots = registration.slots;
            if registration.state != EndpointState::Ready {
                known.endpoint.set_leaving();
            }
            state.endpoints.push(known);
        }
        for gone in previous {
            gone.endpoint.set_leaving();
            state.past_incarnations.add(now_ms, &gone);
        }
        let subset = choose_subset(&mut state.endpoints, self.subset_seed);
        if subset != state.subset {
            state.subset = subset;
            state.is_subset_sent = false;
        }
        drop(guard);
        self.serve_queue();
    }

    /// Whether an endpoint of the origin's service has its software version.
    pub(crate) fn has_origin(&self, origin: &StreamOrigin) -> bool {
        self.lock().endpoints.iter().any(|known| {
            known.endpoint.service == origin.service
                && known.endpoint.software_version == origin.software_version
                && !known.endpoint.is_leaving()
        })
    }

    /// Subscription of the next load exchange. The ids of the subset are sent once after a change.
    pub(crate) fn subscribed_endpoints(&self) -> SubscribedEndpoints {
        let mut state = self.lock();
        if state.subset.is_empty() {
            return SubscribedEndpoints::All;
        }
        if std::mem::replace(&mut state.is_subset_sent, true) {
            return SubscribedEndpoints::Unchanged;
        }
        SubscribedEndpoints::Named(state.subset.clone())
    }

    /// Sends the subset again in the next exchange, after a failed one or if the registry lacks it.
    pub(crate) fn resend_subset(&self) {
        self.lock().is_subset_sent = false;
    }

    /// Loads and outcomes of this instance, and the reservations that the loads include.
    pub(crate) fn report_loads(&self) -> (Vec<EndpointLoad>, CoveredReservations) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let endpoints = state.endpoints.iter_mut();
        let loads = endpoints
            .filter_map(|known| {
                let mut endpoint_stats = known.endpoint.stats();
                let (failures, successes) = endpoint_stats.health.recent_counts(now_ms);
                let (events, interval_us) = endpoint_stats
                    .intervals
                    .lower_quartile(now_ms)
                    .unwrap_or_default();
                let load = endpoint_stats.local_load;
                known.reported_load = load;
                known.reported_counts = (failures, successes);
                let is_idle = load == Load::default() && events + failures + successes == 0;
                (!is_idle).then(|| EndpointLoad {
                    events,
                    events_us: interval_us * u64::from(events),
                    failures,
                    id: known.endpoint.id.clone(),
                    load,
                    successes,
                })
            })
            .collect();
        (loads, state.reservations.clone())
    }

    /// Applies the answer to the last load report.
    pub(crate) fn apply_aggregate(self: &Arc<Self>, aggregate: &AggregatedLoads, interval_ms: u64) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.exchange_interval_ms = interval_ms;
        state.instances = aggregate.instances;
        let catalog = state.catalog.clone();
        for known in &mut state.endpoints {
            let endpoint = &known.endpoint;
            let service = catalog
                .as_ref()
                .and_then(|catalog| catalog.service(&endpoint.service));
            if let Some(service) = service {
                endpoint
                    .pool
                    .set_idle_limit(service.connections_max, aggregate.instances);
            }
            let id = &endpoint.id;
            let found = aggregate.loads.binary_search_by(|load| load.id.cmp(id));
            known.apply_aggregate(now_ms, found.ok().map(|at| &aggregate.loads[at]));
        }
        update_slowness(&mut state.endpoints);
        drop(state);
        self.serve_queue();
    }

    /// Estimates the load of the other instances by that of this one, while there is no aggregate.
    pub(crate) fn estimate_other_loads(&self, instances: u32) {
        let others = instances.saturating_sub(1);
        for known in &mut self.lock().endpoints {
            let mut stats = known.endpoint.stats();
            stats.other_load = Load {
                kv_copy_tokens: stats.local_load.kv_copy_tokens * u64::from(others),
                prefill_tokens: stats.local_load.prefill_tokens * u64::from(others),
                requests: stats.local_load.requests * others,
                predicted_tokens: stats.local_load.predicted_tokens * u64::from(others),
            };
        }
    }

    /// Places a request by the loads that this instance knows, or queues it until it is placed.
    pub(crate) async fn place(
        self: &Arc<Self>,
        placement: &PlacementRequest,
    ) -> Result<Slot, RequestError> {
        {
            let mut state = self.lock();
            if state.count_ahead(placement) == 0
                && let Some(slot) = self.choose_and_occupy(&mut state, placement)
            {
                return Ok(slot);
            }
        }
        self.wait_in_queue(placement).await
    }

    /// Queues a request; refuses it if no capacity is expected in time.
    pub(crate) async fn wait_in_queue(
        self: &Arc<Self>,
        placement: &PlacementRequest,
    ) -> Result<Slot, RequestError> {
        let (number, slot_receiver) = {
            let mut state = self.lock();
            let unavailable_ms =
                state.unavailable_ms(self.now_ms(), placement, &placement.excluded_ids);
            let queue_ms = state.count_ahead(placement) * state.serve_interval_ms;
            if queue_ms.max(unavailable_ms) > placement.wait_ms_max {
                let reason = "no room is expected in time";
                return Err(self.no_capacity_error(&mut state, placement, reason));
            }
            let (slot_sender, slot_receiver) = oneshot::channel();
            let queued = QueuedRequest {
                deadline_ms: self.now_ms() + placement.wait_ms_max,
                placement: placement.clone(),
                slot_sender,
            };
            let number = state
                .queue
                .push(placement.priority, &placement.queue_key(), queued);
            (number, slot_receiver)
        };
        let _guard = QueueGuard {
            fleet: Arc::clone(self),
            number,
        };
        match timeout(Duration::from_millis(placement.wait_ms_max), slot_receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(self.no_capacity_error(&mut self.lock(), placement, "no room came in time")),
        }
    }

    /// Places a request at once by the loads that this instance knows, regardless of the queue.
    pub(crate) fn try_place(self: &Arc<Self>, placement: &PlacementRequest) -> Option<Slot> {
        self.choose_and_occupy(&mut self.lock(), placement)
    }

    /// Occupies a slot at an endpoint that serves the request already, without a choice.
    pub(crate) fn occupy_again(
        self: &Arc<Self>,
        endpoint: &Arc<Endpoint>,
        demand: &Demand,
    ) -> Slot {
        self.occupy(&mut self.lock(), endpoint, demand)
    }

    /// Starts a reservation request; `None` if a new request must wait behind queued ones.
    pub(crate) fn begin_reservation(
        self: &Arc<Self>,
        placement: &PlacementRequest,
    ) -> Option<PendingReservation> {
        let mut state = self.lock();
        if !placement.demand.is_migration && state.count_ahead(placement) > 0 {
            return None;
        }
        let mut options = self.candidates(&state, placement);
        self.request_permits(&state, placement);
        options.sort_by_key(|(_, candidate)| {
            (
                !candidate.has_capacity(&placement.demand),
                candidate.cost_ms(&placement.demand),
            )
        });
        options.truncate(RESERVATION_OPTIONS_MAX);
        let number = state.reservations.next_number;
        state.reservations.next_number += 1;
        state.reservations.pending_numbers.push(number);
        Some(PendingReservation {
            demand: placement.demand,
            fleet: Arc::clone(self),
            number,
            options,
        })
    }

    pub(crate) fn endpoint_and_queue_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.endpoints.len() as u64, state.queue.len() as u64)
    }

    pub(crate) fn close_expired_connections(&self) {
        for known in &self.lock().endpoints {
            known.endpoint.pool.close_expired();
        }
    }

    /// Places as many queued requests as fit, and refuses those that no endpoint takes in time.
    pub(crate) fn serve_queue(self: &Arc<Self>) {
        let mut guard = self.lock();
        if guard.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut guard.queue);
        let state = &mut *guard;
        let now_ms = self.now_ms();
        let mut slots = Vec::new();
        let served = queue.serve(|waiter| {
            if waiter.payload.slot_sender.is_closed() {
                return false;
            }
            let placement = &waiter.payload.placement;
            let slot = self.choose_and_occupy(state, placement);
            let unavailable_ms = state.unavailable_ms(now_ms, placement, &placement.excluded_ids);
            let is_hopeless = now_ms + unavailable_ms > waiter.payload.deadline_ms;
            let is_removed = slot.is_some() || is_hopeless;
            if is_removed {
                slots.push(slot);
            }
            is_removed
        });
        for _ in slots.iter().flatten() {
            state.record_served(now_ms);
        }
        state.queue = queue;
        drop(guard);
        for (waiter, slot) in served.into_iter().zip(slots) {
            // A request without a slot learns of its refusal by the closed channel. If it no longer
            // waits, the slot is dropped and thereby released.
            if let Some(slot) = slot {
                let _ = waiter.payload.slot_sender.send(slot);
            }
        }
    }

    fn choose_and_occupy(
        self: &Arc<Self>,
        state: &mut FleetState,
        placement: &PlacementRequest,
    ) -> Option<Slot> {
        let unseen = state.estimate_unseen_requests(self.now_ms(), &placement.demand);
        let options = self.candidates(state, placement);
        self.request_permits(state, placement);
        let candidates: Vec<Candidate> = options.iter().map(|(_, candidate)| *candidate).collect();
        let at = choose_candidate(&candidates, &placement.demand, unseen, rand::random())?;
        Some(self.occupy(state, &options[at].0, &placement.demand))
    }

    fn occupy(
        self: &Arc<Self>,
        state: &mut FleetState,
        endpoint: &Arc<Endpoint>,
        demand: &Demand,
    ) -> Slot {
        let now_ms = self.now_ms();
        self.use_permit(now_ms, endpoint);
        if demand.predicted_tokens > 0 {
            state.recent_generations.record(now_ms);
        } else {
            state.recent_plain_requests.record(now_ms);
        }
        let expected_prefill_ms = state.expected_prefill_ms(endpoint, demand);
        let load = Load::from(demand);
        endpoint.stats().local_load.add(&load);
        Slot {
            endpoint: Arc::clone(endpoint),
            expected_prefill_ms,
            fleet: Arc::clone(self),
            load,
            occupied_at: Instant::now(),
        }
    }

    /// Time until an endpoint takes requests like this one again, but at most the longest time after
    /// which a client may retry; 0 unless all of its endpoints are paused or have reached their limits.
    pub(crate) fn unavailable_ms(&self, placement: &PlacementRequest) -> u64 {
        let unavailable_ms = self.lock().unavailable_ms(self.now_ms(), placement, &[]);
        unavailable_ms.min(RETRY_AFTER_MS_MAX)
    }

    fn no_capacity_error(
        &self,
        state: &mut FleetState,
        placement: &PlacementRequest,
        reason: &str,
    ) -> RequestError {
        let now_ms = self.now_ms();
        // The client's next request excludes no endpoints.
        let unavailable_ms = state.unavailable_ms(now_ms, placement, &[]);
        let reason = if unavailable_ms > 0 {
            "all endpoints are paused or have reached their limits"
        } else {
            reason
        };
        let schedule = &mut state.retry_after_schedule;
        let retry_after_ms = unavailable_ms + schedule.next_ms(now_ms, state.serve_interval_ms);
        RequestError::not_run(reason, retry_after_ms.min(RETRY_AFTER_MS_MAX))
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the queue when dropped.
struct QueueGuard {
    fleet: Arc<Fleet>,
    number: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.fleet.lock().queue.remove(self.number);
    }
}

impl FleetState {
    /// Requests that the other instances are expected to have placed since their last load reports.
    fn estimate_unseen_requests(&mut self, now_ms: u64, demand: &Demand) -> usize {
        let placements = if demand.predicted_tokens > 0 {
            &mut self.recent_generations
        } else {
            &mut self.recent_plain_requests
        };
        let others = usize::try_from(self.instances.saturating_sub(1)).unwrap_or(usize::MAX);
        let own = placements.count(now_ms);
        let unseen_ms = usize::try_from(self.exchange_interval_ms * 3 / 2).unwrap_or(usize::MAX);
        own * others * unseen_ms / RATE_WINDOW_MS
    }

    /// Queued requests that are served before a new one.
    fn count_ahead(&self, placement: &PlacementRequest) -> u64 {
        self.queue
            .count_ahead(placement.priority, &placement.queue_key()) as u64
    }

    fn engine(&self, service: &str) -> Option<&EngineSpec> {
        let service = self.catalog.as_ref()?.service(service)?;
        service.engine.as_ref()
    }

    fn record_served(&mut self, now_ms: u64) {
        let interval_ms = now_ms
            .saturating_sub(self.last_served_ms)
            .min(SERVE_INTERVAL_MS_MAX);
        self.last_served_ms = now_ms;
        self.serve_interval_ms = (self.serve_interval_ms * (SERVE_INTERVAL_SMOOTHING_DIVISOR - 1)
            + interval_ms)
            / SERVE_INTERVAL_SMOOTHING_DIVISOR;
    }
}
