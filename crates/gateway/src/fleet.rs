//! Endpoints as this instance knows them, and the requests that wait for room on them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Catalog;
use registry::{EndpointLoad, EndpointState, LoadTotals};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::clock::elapsed_ms;
use crate::endpoint::Endpoint;
use crate::outcome::Refusal;
use crate::{
    Candidate, Demand, Distance, Load, Place, ReturnSchedule, WaitQueue, choose, reading_engines,
};

/// Spacing of returns before any request was served from the queue.
const SPACING_MS_DEFAULT: u64 = 200;

/// Longest spacing of returns.
const SPACING_MS_MAX: u64 = 2_000;

/// Time over which the rate of requests is taken.
const RATE_WINDOW_MS: usize = 3_000;

/// Share of the latest interval in the average of the spacing: one in this many.
const SPACING_SHARE: u64 = 4;

/// Known endpoints, with what runs on them.
#[derive(Debug)]
pub(crate) struct Fleet {
    inner: Mutex<Inner>,
    opened: Instant,
    place: Place,
}

#[derive(Debug, Default)]
struct Inner {
    catalog: Option<Arc<Catalog>>,
    exchange_interval_ms: u64,
    generations: Placed,
    instances: u32,
    /// Sorted by id.
    members: Vec<Member>,
    plain_calls: Placed,
    queue: WaitQueue<Waiting>,
    schedule: ReturnSchedule,
    served_ms: u64,
    spacing_ms: u64,
}

/// Times of the requests that this instance has placed of late.
#[derive(Debug, Default)]
struct Placed(VecDeque<u64>);

impl Placed {
    fn note(&mut self, now_ms: u64) {
        self.0.push_back(now_ms);
        self.count(now_ms);
    }

    fn count(&mut self, now_ms: u64) -> usize {
        let is_old = |at_ms: &mut u64| *at_ms + (RATE_WINDOW_MS as u64) <= now_ms;
        while self.0.pop_front_if(is_old).is_some() {}
        self.0.len()
    }
}

#[derive(Debug)]
struct Member {
    born_ms: u64,
    endpoint: Arc<Endpoint>,
    is_cold: bool,
    is_silent: bool,
    reported: Load,
    reported_outcomes: (u32, u32),
    slots: u32,
}

#[derive(Debug)]
struct Waiting {
    demand: Demand,
    excluded: Vec<String>,
    wake: oneshot::Sender<Slot>,
}

/// What a request wants of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Want {
    pub(crate) demand: Demand,
    /// Endpoints that it must not go to, by id.
    pub(crate) excluded: Vec<String>,
    pub(crate) priority: u32,
    pub(crate) service: String,
    pub(crate) wait_ms: u64,
}

/// Room on an endpoint, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
    fleet: Arc<Fleet>,
    load: Load,
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut own = self.endpoint.own();
            own.load.prefill_tokens -= self.load.prefill_tokens;
            own.load.runs -= self.load.runs;
            own.load.tokens -= self.load.tokens;
        }
        self.fleet.serve_waiting();
    }
}

impl Slot {
    /// The prompt has been read.
    pub(crate) fn note_first_event(&mut self) {
        let read = std::mem::take(&mut self.load.prefill_tokens);
        self.endpoint.own().load.prefill_tokens -= read;
    }

    /// Corrects the prediction of the tokens held at the end.
    pub(crate) fn predict(&mut self, tokens: u64) {
        let mut own = self.endpoint.own();
        own.load.tokens = own.load.tokens - self.load.tokens + tokens;
        self.load.tokens = tokens;
    }
}

impl Fleet {
    pub(crate) fn new(place: Place) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                spacing_ms: SPACING_MS_DEFAULT,
                ..Inner::default()
            }),
            opened: Instant::now(),
            place,
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
    pub(crate) fn set_endpoints(self: &Arc<Self>, endpoints: &[registry::Endpoint]) {
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
        drop(inner);
        self.serve_waiting();
    }

    /// What this instance runs and has seen of each endpoint.
    pub(crate) fn loads(&self) -> Vec<EndpointLoad> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let members = inner.members.iter_mut();
        members
            .filter_map(|member| {
                let mut own = member.endpoint.own();
                let (failures, successes) = own.health.counts(now_ms);
                let load = own.load;
                member.reported = load;
                member.reported_outcomes = (failures, successes);
                let is_idle = load == Load::default() && failures + successes == 0;
                (!is_idle).then(|| EndpointLoad {
                    failures,
                    id: member.endpoint.id.clone(),
                    prefill_tokens: load.prefill_tokens,
                    runs: load.runs,
                    successes,
                    tokens: load.tokens,
                })
            })
            .collect()
    }

    /// Takes the sums over all instances that answer the last `loads`.
    pub(crate) fn set_totals(self: &Arc<Self>, totals: &LoadTotals, interval_ms: u64) {
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
        drop(inner);
        self.serve_waiting();
    }

    /// Assumes that the other instances run as much as this one, where no sums can be had.
    pub(crate) fn assume_totals(&self, instances: u32) {
        let others = instances.saturating_sub(1);
        for member in &mut self.lock().members {
            let mut own = member.endpoint.own();
            own.others = Load {
                prefill_tokens: own.load.prefill_tokens * u64::from(others),
                runs: own.load.runs * others,
                tokens: own.load.tokens * u64::from(others),
            };
        }
    }

    /// Waits for room; refuses where none is expected in time.
    pub(crate) async fn admit(self: &Arc<Self>, want: &Want) -> Result<Slot, Refusal> {
        let (number, woken) = {
            let mut inner = self.lock();
            let ahead = inner.queue.ahead(want.priority, &want.service) as u64;
            if ahead == 0
                && let Some(slot) =
                    self.place(&mut inner, &want.service, &want.demand, &want.excluded)
            {
                return Ok(slot);
            }
            if ahead * inner.spacing_ms > want.wait_ms {
                return Err(self.refuse(&mut inner, "no room is expected in time"));
            }
            let (wake, woken) = oneshot::channel();
            let waiting = Waiting {
                demand: want.demand,
                excluded: want.excluded.clone(),
                wake,
            };
            (
                inner.queue.push(want.priority, &want.service, waiting),
                woken,
            )
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

    /// Room for a run that moves, on the nearest endpoints that a copy reaches in time.
    pub(crate) fn place_move(self: &Arc<Self>, want: &Want, source: &Endpoint) -> Option<Slot> {
        let mut inner = self.lock();
        for farthest in [Distance::SameDataCentre, Distance::SameRegion] {
            let mut excluded = want.excluded.clone();
            let members = inner.members.iter().map(|member| &member.endpoint);
            let far = members.filter(|endpoint| {
                let distance = self
                    .place
                    .distance(&source.data_centre, &endpoint.data_centre);
                distance > farthest
            });
            excluded.extend(far.map(|endpoint| endpoint.id.clone()));
            let slot = self.place(&mut inner, &want.service, &want.demand, &excluded);
            if slot.is_some() {
                return slot;
            }
        }
        None
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
            let waiting = &waiter.wake;
            if waiting.wake.is_closed() {
                return false;
            }
            let slot = self.place(inner, &waiter.service, &waiting.demand, &waiting.excluded);
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
            let _ = waiter.wake.wake.send(slot);
        }
    }

    fn place(
        self: &Arc<Self>,
        inner: &mut Inner,
        service: &str,
        demand: &Demand,
        excluded: &[String],
    ) -> Option<Slot> {
        let now_ms = self.now_ms();
        let memory_tokens = inner.memory_tokens(service);
        let unseen = inner.unseen_requests(now_ms, demand);
        let is_usable = |member: &&Member| {
            member.endpoint.service == service
                && !member.endpoint.is_leaving()
                && !excluded.contains(&member.endpoint.id)
        };
        let usable: Vec<&Member> = inner.members.iter().filter(is_usable).collect();
        let is_well = |member: &&&Member| {
            !member.is_silent && !member.endpoint.own().health.is_avoided(now_ms)
        };
        let mut well: Vec<&Member> = usable.iter().filter(is_well).copied().collect();
        if well.len() * 2 < usable.len() {
            // Judged by many failures at once, it is rarely the endpoints that are to blame.
            well = usable;
        }
        let last_for_reading = last_for_reading(&well);
        let candidates: Vec<Candidate> = well
            .iter()
            .map(|member| Candidate {
                distance_ms: self.place.distance_ms(&member.endpoint.data_centre),
                is_cold: member.is_cold,
                is_for_reading: Some(member.endpoint.rank) <= last_for_reading,
                load: member.endpoint.load(),
                memory_tokens,
                slots: member.slots,
            })
            .collect();
        let at = choose(&candidates, demand, unseen, rand::random())?;
        let load = Load {
            prefill_tokens: demand.prefill_tokens,
            runs: 1,
            tokens: demand.tokens,
        };
        let endpoint = Arc::clone(&well[at].endpoint);
        if demand.tokens > 0 {
            inner.generations.note(now_ms);
        } else {
            inner.plain_calls.note(now_ms);
        }
        endpoint.own().load.add(&load);
        Some(Slot {
            endpoint,
            fleet: Arc::clone(self),
            load,
        })
    }

    fn refuse(&self, inner: &mut Inner, reason: &str) -> Refusal {
        let wait_ms = inner.schedule.wait_ms(self.now_ms(), inner.spacing_ms);
        Refusal::not_run(reason, wait_ms)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Greatest rank of the engines that are preferred for requests that mostly read.
fn last_for_reading(members: &[&Member]) -> Option<u64> {
    let mut ranks: Vec<u64> = members.iter().map(|member| member.endpoint.rank).collect();
    ranks.sort_unstable();
    let count = reading_engines(ranks.len());
    ranks.get(count.checked_sub(1)?).copied()
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
        let placed = if demand.tokens > 0 {
            &mut self.generations
        } else {
            &mut self.plain_calls
        };
        let others = usize::try_from(self.instances.saturating_sub(1)).unwrap_or(usize::MAX);
        let own = placed.count(now_ms);
        let unseen_ms = usize::try_from(self.exchange_interval_ms * 3 / 2).unwrap_or(usize::MAX);
        own * others * unseen_ms / RATE_WINDOW_MS
    }

    fn memory_tokens(&self, service: &str) -> u64 {
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|catalog| catalog.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.memory_tokens)
    }

    fn note_served(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.served_ms).min(SPACING_MS_MAX);
        self.served_ms = now_ms;
        self.spacing_ms = (self.spacing_ms * (SPACING_SHARE - 1) + interval_ms) / SPACING_SHARE;
    }
}

impl Member {
    fn new(registration: &registry::Registration) -> Self {
        Self {
            born_ms: registration.born_ms,
            endpoint: Endpoint::new(registration),
            is_cold: false,
            is_silent: false,
            reported: Load::default(),
            reported_outcomes: (0, 0),
            slots: registration.slots,
        }
    }

    fn is(&self, registration: &registry::Registration) -> bool {
        self.born_ms == registration.born_ms
            && self.endpoint.pool.address() == registration.address
            && self.endpoint.service == registration.service
    }

    fn set_total(&mut self, now_ms: u64, total: Option<&EndpointLoad>) {
        let (own_failures, own_successes) = self.reported_outcomes;
        let (others, failures_elsewhere, successes_elsewhere) = match total {
            Some(total) => (
                Load {
                    prefill_tokens: total
                        .prefill_tokens
                        .saturating_sub(self.reported.prefill_tokens),
                    runs: total.runs.saturating_sub(self.reported.runs),
                    tokens: total.tokens.saturating_sub(self.reported.tokens),
                },
                total.failures.saturating_sub(own_failures),
                total.successes.saturating_sub(own_successes),
            ),
            None => (Load::default(), 0, 0),
        };
        let mut own = self.endpoint.own();
        own.others = others;
        let (failures, successes) = own.health.counts(now_ms);
        let failures = failures + failures_elsewhere;
        let successes = successes + successes_elsewhere;
        own.health.judge(now_ms, failures, successes);
    }
}
