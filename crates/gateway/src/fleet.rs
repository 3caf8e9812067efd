//! Endpoints as this instance knows them, and the requests that wait for room on them.

mod asking;
mod following;
mod member;
mod placed;
mod slot;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::{Catalog, EngineSpec};
use placement::{Candidate, Demand, Load, choose_candidate};
use registry::{
    AggregatedLoads, CoveredReservations, EndpointLoad, EndpointState, SubscribedEndpoints,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::clock::elapsed_ms;
use crate::endpoint::Endpoint;
use crate::outcome::Refusal;
use crate::{Distance, RetryAfterSchedule, Topology, WaitQueue};
pub(crate) use asking::Asking;
pub use following::{subset_key, subset_key_max};
use member::{Member, compare_paces, follow, last_for_reading};
use placed::{Placed, RATE_WINDOW_MS};
pub(crate) use slot::Slot;

/// Spacing of returns before any request was served from the queue.
const SPACING_MS_DEFAULT: u64 = 200;

/// Longest spacing of returns.
const SPACING_MS_MAX: u64 = 2_000;

/// Endpoints that a registry chooses from. Choosing the best of a few by fresh sums spreads requests
/// nearly as well as choosing of all, and keeps the question short in a large fleet.
const OPTIONS_MAX: usize = 16;

/// Delay by which an endpoint of another data centre is disfavoured for a run that moves, in ms; a
/// copy takes twice as long there.
const MOVE_FAR_MS: u64 = 170;

/// Factor by which copies to another data centre are slower.
const MOVE_FAR_FACTOR: u64 = 2;

/// Share of the latest interval in the average of the spacing: one in this many.
const SPACING_SHARE: u64 = 4;

/// Known endpoints, with what runs on them.
#[derive(Debug)]
pub(crate) struct Fleet {
    inner: Mutex<Inner>,
    opened: Instant,
    topology: Topology,
    /// Chooses the part of a large service that this instance follows.
    seed: u64,
}

#[derive(Debug, Default)]
struct Inner {
    catalog: Option<Arc<Catalog>>,
    exchange_interval_ms: u64,
    /// Sorted names of the endpoints that are followed; empty where all are.
    followed: Vec<String>,
    generations: Placed,
    instances: u32,
    /// Whether the registry that sums has been told which endpoints are followed.
    is_followed_named: bool,
    /// Sorted by id.
    members: Vec<Member>,
    plain_calls: Placed,
    queue: WaitQueue<Waiting>,
    reservations: CoveredReservations,
    schedule: RetryAfterSchedule,
    served_ms: u64,
    spacing_ms: u64,
}

#[derive(Debug)]
struct Waiting {
    wake: oneshot::Sender<Slot>,
    want: Want,
}

/// What the place of an endpoint means to a request.
#[derive(Debug)]
struct Way {
    /// Factor by which copies are slower there.
    copy_factor: u64,
    /// Delay by which it is disfavoured.
    delay_ms: u64,
}

/// What a request wants of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Want {
    pub(crate) demand: Demand,
    /// Endpoints that it must not go to, by id.
    pub(crate) excluded: Vec<String>,
    /// Data centre that it moves from, if it is a run that does.
    pub(crate) leaves: Option<String>,
    pub(crate) priority: u32,
    pub(crate) service: String,
    pub(crate) wait_ms: u64,
}

impl Fleet {
    pub(crate) fn new(topology: Topology) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                spacing_ms: SPACING_MS_DEFAULT,
                ..Inner::default()
            }),
            opened: Instant::now(),
            topology,
            seed: rand::random(),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        elapsed_ms(self.opened)
    }

    /// Puts the services of a catalog in force.
    pub(crate) fn set_catalog(self: &Arc<Self>, catalog: &Arc<Catalog>) {
        self.lock().catalog = Some(Arc::clone(catalog));
        self.serve_waiting();
    }

    /// Takes the endpoints that have not left.
    pub(crate) fn set_endpoints(self: &Arc<Self>, endpoints: &[registry::EndpointView]) {
        let mut inner = self.lock();
        let known = std::mem::take(&mut inner.members);
        let mut known = known.into_iter().peekable();
        for endpoint in endpoints {
            let registration = &endpoint.registration;
            while let Some(gone) = known.next_if(|member| member.endpoint.id < registration.id) {
                gone.endpoint.leave();
            }
            let same = known.next_if(|member| member.endpoint.id == registration.id);
            let mut member = match same {
                Some(member) if member.is(registration) => member,
                Some(older) => {
                    older.endpoint.leave();
                    Member::new(registration)
                }
                None => Member::new(registration),
            };
            member.is_cold = registration.cold_left_ms > 0;
            member.is_silent = endpoint.is_silent;
            member.slots = registration.slots;
            if registration.state != EndpointState::Ready {
                member.endpoint.leave();
            }
            inner.members.push(member);
        }
        for gone in known {
            gone.endpoint.leave();
        }
        let followed = follow(&mut inner.members, self.seed);
        if followed != inner.followed {
            inner.followed = followed;
            inner.is_followed_named = false;
        }
        drop(inner);
        self.serve_waiting();
    }

    /// Endpoints whose sums this instance wants; they are named once.
    pub(crate) fn followed(&self) -> SubscribedEndpoints {
        let mut inner = self.lock();
        if inner.followed.is_empty() {
            return SubscribedEndpoints::All;
        }
        if std::mem::replace(&mut inner.is_followed_named, true) {
            return SubscribedEndpoints::Unchanged;
        }
        SubscribedEndpoints::Named(inner.followed.clone())
    }

    /// Names the endpoints that are followed in the next exchange, as an answer is missing or the
    /// registry does not know them.
    pub(crate) fn name_followed_again(&self) {
        self.lock().is_followed_named = false;
    }

    /// What this instance runs and has seen of each endpoint, and the reservations that are in it.
    pub(crate) fn loads(&self) -> (Vec<EndpointLoad>, CoveredReservations) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let members = inner.members.iter_mut();
        let loads = members
            .filter_map(|member| {
                let mut own = member.endpoint.own();
                let (failures, successes) = own.health.recent_counts(now_ms);
                let (events, event_us) = own.intervals.lower_quartile(now_ms).unwrap_or_default();
                let load = own.load;
                member.reported = load;
                member.reported_outcomes = (failures, successes);
                let is_idle = load == Load::default() && events + failures + successes == 0;
                (!is_idle).then(|| EndpointLoad {
                    events,
                    events_us: event_us * u64::from(events),
                    failures,
                    id: member.endpoint.id.clone(),
                    load,
                    successes,
                })
            })
            .collect();
        (loads, inner.reservations.clone())
    }

    /// Takes the sums over all instances that answer the last `loads`.
    pub(crate) fn set_totals(self: &Arc<Self>, totals: &AggregatedLoads, interval_ms: u64) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        inner.exchange_interval_ms = interval_ms;
        inner.instances = totals.instances;
        let catalog = inner.catalog.clone();
        for member in &mut inner.members {
            let endpoint = &member.endpoint;
            let service = catalog
                .as_ref()
                .and_then(|known| known.service(&endpoint.service));
            if let Some(service) = service {
                endpoint
                    .pool
                    .share(service.connections_max, totals.instances);
            }
            let id = &endpoint.id;
            let found = totals.loads.binary_search_by(|load| load.id.cmp(id));
            member.set_total(now_ms, found.ok().map(|at| &totals.loads[at]));
        }
        compare_paces(&mut inner.members);
        drop(inner);
        self.serve_waiting();
    }

    /// Assumes that the other instances run as much as this one, where no sums can be had.
    pub(crate) fn assume_totals(&self, instances: u32) {
        let others = instances.saturating_sub(1);
        for member in &mut self.lock().members {
            let mut own = member.endpoint.own();
            own.others = Load {
                kv_copy_tokens: own.load.kv_copy_tokens * u64::from(others),
                prefill_tokens: own.load.prefill_tokens * u64::from(others),
                requests: own.load.requests * others,
                predicted_tokens: own.load.predicted_tokens * u64::from(others),
            };
        }
    }

    /// Takes room by what this instance knows of the loads, or waits for it.
    pub(crate) async fn admit(self: &Arc<Self>, want: &Want) -> Result<Slot, Refusal> {
        {
            let mut inner = self.lock();
            if inner.ahead(want) == 0
                && let Some(slot) = self.try_place(&mut inner, want)
            {
                return Ok(slot);
            }
        }
        self.wait(want).await
    }

    /// Waits for room; refuses where none is expected in time.
    pub(crate) async fn wait(self: &Arc<Self>, want: &Want) -> Result<Slot, Refusal> {
        let (number, woken) = {
            let mut inner = self.lock();
            if inner.ahead(want) * inner.spacing_ms > want.wait_ms {
                return Err(self.refuse(&mut inner, "no room is expected in time"));
            }
            let (wake, woken) = oneshot::channel();
            let waiting = Waiting {
                wake,
                want: want.clone(),
            };
            let number = inner.queue.push(want.priority, &want.service, waiting);
            (number, woken)
        };
        let _guard = Queued {
            fleet: Arc::clone(self),
            number,
        };
        match timeout(Duration::from_millis(want.wait_ms), woken).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(self.refuse(&mut self.lock(), "no room came in time")),
        }
    }

    /// Room by what this instance knows of the loads, if there is any.
    pub(crate) fn take(self: &Arc<Self>, want: &Want) -> Option<Slot> {
        self.try_place(&mut self.lock(), want)
    }

    /// Endpoints that suit a request, the best first; none where others wait for room.
    pub(crate) fn ask(self: &Arc<Self>, want: &Want) -> Option<Asking> {
        let mut inner = self.lock();
        if !want.demand.is_migration && inner.ahead(want) > 0 {
            return None;
        }
        let mut options = self.candidates(&inner, want);
        options.sort_by_key(|(_, candidate)| {
            (
                !candidate.has_capacity(&want.demand),
                candidate.cost_ms(&want.demand),
            )
        });
        options.truncate(OPTIONS_MAX);
        let number = inner.reservations.next_number;
        inner.reservations.next_number += 1;
        inner.reservations.pending_numbers.push(number);
        Some(Asking {
            demand: want.demand,
            fleet: Arc::clone(self),
            number,
            options,
        })
    }

    /// Endpoints that have not left, and requests that wait for room.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.members.len() as u64, inner.queue.len() as u64)
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn trim(&self) {
        for member in &self.lock().members {
            member.endpoint.pool.trim();
        }
    }

    pub(crate) fn serve_waiting(self: &Arc<Self>) {
        let mut guard = self.lock();
        if guard.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut guard.queue);
        let inner = &mut *guard;
        let mut placed = Vec::new();
        let served = queue.serve(|waiter| {
            if waiter.payload.wake.is_closed() {
                return false;
            }
            let slot = self.try_place(inner, &waiter.payload.want);
            let is_placed = slot.is_some();
            placed.extend(slot);
            is_placed
        });
        let now_ms = self.now_ms();
        for _ in &served {
            inner.note_served(now_ms);
        }
        inner.queue = queue;
        drop(guard);
        for (waiter, slot) in served.into_iter().zip(placed) {
            // A request that gave up meanwhile drops the slot, which frees it.
            let _ = waiter.payload.wake.send(slot);
        }
    }

    fn try_place(self: &Arc<Self>, inner: &mut Inner, want: &Want) -> Option<Slot> {
        let unseen = inner.unseen_requests(self.now_ms(), &want.demand);
        let options = self.candidates(inner, want);
        let candidates: Vec<Candidate> = options.iter().map(|(_, candidate)| *candidate).collect();
        let at = choose_candidate(&candidates, &want.demand, unseen, rand::random())?;
        Some(self.occupy(inner, &options[at].0, &want.demand))
    }

    /// Endpoints that a request may be sent to, with what is known of them.
    fn candidates(&self, inner: &Inner, want: &Want) -> Vec<(Arc<Endpoint>, Candidate)> {
        let now_ms = self.now_ms();
        let engine = inner.engine(&want.service);
        let copy_tokens_per_s = engine.map_or(0, EngineSpec::copy_tokens_per_s);
        let is_usable = |member: &&Member| {
            member.endpoint.service == want.service
                && !member.endpoint.is_leaving()
                && (member.is_followed || want.leaves.is_some())
                && !want.excluded.contains(&member.endpoint.id)
                && self.is_in_reach(want, &member.endpoint)
        };
        let usable: Vec<&Member> = inner.members.iter().filter(is_usable).collect();
        let is_well = |member: &&&Member| {
            !member.is_silent && !member.endpoint.own().health.is_ejected(now_ms)
        };
        let mut well: Vec<&Member> = usable.iter().filter(is_well).copied().collect();
        if well.len() * 2 < usable.len() {
            // Judged by many failures at once, it is rarely the endpoints that are to blame.
            well = usable;
        }
        let last_for_reading = last_for_reading(&well);
        well.into_iter()
            .map(|member| {
                let endpoint = &member.endpoint;
                let way = self.way(want, endpoint);
                let candidate = Candidate {
                    copy_tokens_per_s: copy_tokens_per_s / way.copy_factor,
                    round_trip_ms: way.delay_ms,
                    is_cold: member.is_cold,
                    is_preferred_for_prefill: Some(member.reading_rank()) <= last_for_reading,
                    load: endpoint.load(),
                    memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
                    slots: member.slots,
                    slowness_percent: member.slowness_percent,
                };
                (Arc::clone(endpoint), candidate)
            })
            .collect()
    }

    /// Whether a run that moves, if it is one, can be copied there before its engine is gone.
    fn is_in_reach(&self, want: &Want, endpoint: &Endpoint) -> bool {
        let Some(source) = &want.leaves else {
            return true;
        };
        self.topology.distance(source, &endpoint.data_centre) < Distance::OtherRegion
    }

    fn way(&self, want: &Want, endpoint: &Endpoint) -> Way {
        let (copy_factor, delay_ms) = match &want.leaves {
            None => (1, self.topology.round_trip_ms(&endpoint.data_centre)),
            Some(source) if *source == endpoint.data_centre => (1, 0),
            Some(_) => (MOVE_FAR_FACTOR, MOVE_FAR_MS),
        };
        Way {
            copy_factor,
            delay_ms,
        }
    }

    fn occupy(
        self: &Arc<Self>,
        inner: &mut Inner,
        endpoint: &Arc<Endpoint>,
        demand: &Demand,
    ) -> Slot {
        let now_ms = self.now_ms();
        if demand.predicted_tokens > 0 {
            inner.generations.note(now_ms);
        } else {
            inner.plain_calls.note(now_ms);
        }
        let load = Load::from(demand);
        endpoint.own().load.add(&load);
        Slot {
            endpoint: Arc::clone(endpoint),
            fleet: Arc::clone(self),
            load,
        }
    }

    fn refuse(&self, inner: &mut Inner, reason: &str) -> Refusal {
        let wait_ms = inner.schedule.next_ms(self.now_ms(), inner.spacing_ms);
        Refusal::not_run(reason, wait_ms)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue, given up when dropped.
struct Queued {
    fleet: Arc<Fleet>,
    number: u64,
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.fleet.lock().queue.remove(self.number);
    }
}

impl Inner {
    /// Requests that other instances are expected to have placed since they were last heard.
    fn unseen_requests(&mut self, now_ms: u64, demand: &Demand) -> usize {
        let placed = if demand.predicted_tokens > 0 {
            &mut self.generations
        } else {
            &mut self.plain_calls
        };
        let others = usize::try_from(self.instances.saturating_sub(1)).unwrap_or(usize::MAX);
        let own = placed.count(now_ms);
        let unseen_ms = usize::try_from(self.exchange_interval_ms * 3 / 2).unwrap_or(usize::MAX);
        own * others * unseen_ms / RATE_WINDOW_MS
    }

    /// Requests that are served before a new one.
    fn ahead(&self, want: &Want) -> u64 {
        self.queue.count_ahead(want.priority, &want.service) as u64
    }

    fn engine(&self, service: &str) -> Option<&EngineSpec> {
        let service = self.catalog.as_ref()?.service(service)?;
        service.engine.as_ref()
    }

    fn note_served(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.served_ms).min(SPACING_MS_MAX);
        self.served_ms = now_ms;
        self.spacing_ms = (self.spacing_ms * (SPACING_SHARE - 1) + interval_ms) / SPACING_SHARE;
    }
}
