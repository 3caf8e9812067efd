//! The decision core of one owner shard.
//!
//! Requests wait in fair queues, one a model, until an endpoint has room. Rows, requests and permits
//! are many and change with every event; a sorted vector would cost O(n) an insert, so they are kept
//! in B-trees. Endpoints and models are few and are kept in sorted vectors.
//!
//! The host gives each request a number that is unique in the shard, reports the end of every permit
//! it was granted, also of a cancelled one, and calls with `Event::Tick` when `next_tick_us` says so.
//! Permits that end with their endpoint's lease need no report. Permits of an entry whose lease
//! lapsed are ended as failed. Only a confirmed cancellation that the dispatcher asked for queues the
//! request again; after any other end the entry asks again under a new number.

mod granting;
mod permits;
mod refusing;
mod relieving;
mod rows;

use std::collections::{BTreeMap, BTreeSet};

use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

pub use rows::RowUsage;

use crate::endpoint::Endpoint;
use crate::fair_queue::{FairQueue, Position};
use crate::lengths::LengthEstimator;
use crate::permit::Permit;
use crate::prefix::PlacementMemory;
use crate::row::Row;
use crate::work::{RowIndex, Work};
use crate::{
    Action, CustomerIndex, EndpointProfile, Event, KindIndex, ModelIndex, Policy, Settings,
};

/// Grants, refuses and cancels for the endpoints of one shard.
#[derive(Debug)]
pub struct Dispatcher {
    endpoints: Vec<Endpoint>,
    expiries: BTreeSet<(u64, RequestId)>,
    /// No grant before this time, while an earlier owner's permits may be unknown.
    held_until_us: u64,
    lengths: LengthEstimator,
    next_permit: u64,
    next_sequence: u64,
    /// Time of the last event.
    now_us: u64,
    /// Rows whose limits open with time.
    openings: BTreeSet<(u64, RowIndex)>,
    permits: BTreeMap<PermitId, Permit>,
    placement: PlacementMemory,
    pools: Vec<Pool>,
    queued: BTreeMap<RequestId, Queued>,
    rng: Xoshiro256PlusPlus,
    row_indexes: BTreeMap<(CustomerIndex, KindIndex), RowIndex>,
    rows: Vec<Row>,
    running: BTreeMap<RequestId, PermitId>,
    settings: Settings,
}

/// The waiting requests of one model.
#[derive(Debug)]
struct Pool {
    model: ModelIndex,
    queue: FairQueue,
    /// Nothing could be granted, and nothing has changed since that would allow it.
    stuck: bool,
    /// Engine time of one generated token, as last measured.
    token_us: f64,
}

/// A waiting request.
#[derive(Debug)]
struct Queued {
    cost_us: u64,
    expires_us: u64,
    /// When another request was first granted ahead of its turn.
    passed_over_us: Option<u64>,
    work: Work,
}

impl Queued {
    fn position(&self) -> Position {
        Position {
            cost_us: self.cost_us,
            row: self.work.row,
            sequence: self.work.sequence,
            urgent: self.work.urgent,
        }
    }
}

impl Dispatcher {
    /// A shard without endpoints, rows or requests.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            expiries: BTreeSet::new(),
            held_until_us: 0,
            lengths: LengthEstimator::new(&settings),
            next_permit: 1,
            next_sequence: 0,
            now_us: 0,
            openings: BTreeSet::new(),
            permits: BTreeMap::new(),
            placement: PlacementMemory::default(),
            pools: Vec::new(),
            queued: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            row_indexes: BTreeMap::new(),
            rows: Vec::new(),
            running: BTreeMap::new(),
            settings,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.queued.len()
    }

    fn announce(&mut self, id: EndpointId, profile: &EndpointProfile) {
        let endpoint = self.endpoint_mut(id);
        endpoint.profile = Some(profile.clone());
        endpoint.ready = true;
    }

    fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        let index = self.endpoint_index(id).ok()?;
        Some(&self.endpoints[index])
    }

    fn endpoint_index(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints.binary_search_by_key(&id, |known| known.id)
    }

    /// The endpoint, made without a profile if it is new.
    fn endpoint_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        let index = self.endpoint_index(id).unwrap_or_else(|index| {
            self.endpoints
                .insert(index, Endpoint::new(id, &self.settings));
            index
        });
        &mut self.endpoints[index]
    }

    fn lapse(&mut self, now_us: u64, id: EndpointId) {
        let ended: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| permit.endpoint == id)
            .map(|(&number, _)| number)
            .collect();
        for number in ended {
            self.finish_failed(now_us, number);
        }
        let Ok(index) = self.endpoint_index(id) else {
            return;
        };
        let mut endpoint = self.endpoints.remove(index);
        self.placement.forget(id, &mut endpoint.retention);
    }

    /// The pool of a model, made if it is new.
    fn pool_index(&mut self, model: ModelIndex) -> usize {
        let found = self.pools.binary_search_by_key(&model, |pool| pool.model);
        found.unwrap_or_else(|index| {
            let pool = Pool {
                model,
                queue: FairQueue::default(),
                stuck: false,
                token_us: self.settings.token_us,
            };
            self.pools.insert(index, pool);
            index
        })
    }
}

impl Policy for Dispatcher {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now_us = now_us;
        self.expire(now_us, actions);
        self.open_rows(now_us);
        match event {
            Event::EndpointAnnounced { endpoint, profile } => self.announce(endpoint, profile),
            Event::BlocksCached { endpoint, hashes } => self.cached(endpoint, hashes),
            Event::BlocksEvicted { endpoint, hashes } => {
                for &hash in hashes {
                    self.placement.evicted(endpoint, hash);
                }
            }
            Event::PermitEnded {
                end,
                generated_tokens,
                permit,
            } => self.finish(now_us, permit, end, generated_tokens),
            Event::EndpointLapsed { endpoint } => self.lapse(now_us, endpoint),
            Event::EndpointLeaving { endpoint } => self.endpoint_mut(endpoint).ready = false,
            Event::LimitsChanged { limits } => self.set_limits(now_us, limits),
            Event::GenerationProgressed {
                generated_tokens,
                permit,
            } => {
                if !self.progress(now_us, permit, generated_tokens) {
                    return self.grant_all(now_us, actions);
                }
            }
            Event::LoadReported {
                age_us,
                endpoint,
                load,
            } => self.report(now_us, age_us, endpoint, load, actions),
            Event::RequestArrived { demand, request } => {
                self.request(now_us, request, demand, actions);
                return;
            }
            Event::Tick => {}
            Event::RequestWithdrawn { request } => self.withdraw(request),
        }
        self.unstick();
        self.grant_all(now_us, actions);
    }

    fn name(&self) -> &'static str {
        "permits"
    }

    fn next_tick_us(&self) -> Option<u64> {
        let expiry = self.expiries.first().map(|&(at_us, _)| at_us);
        let opening = self.openings.first().map(|&(at_us, _)| at_us);
        let resumption = self.resumption_us();
        [expiry, opening, resumption].into_iter().flatten().min()
    }
}
