//! The scheduler of one shard.
//!
//! Requests wait in one fair queue per model until an endpoint has capacity. Rows, requests and
//! permits are many and change with every event. Insertion into a sorted vector would be O(n), so
//! they are kept in B-trees. Endpoints and models are few and are kept in sorted vectors.
//!
//! The owner of the shard calls the dispatcher under these rules:
//!
//! - It gives each request a number that is unique in the shard.
//! - It reports the end of every granted permit, also after a cancellation. Permits that end with
//!   their endpoint's lease need no report.
//! - It reports the permits of an entry whose lease lapsed as failed.
//! - It sends `Event::Tick` at the time that `next_tick_us` gives.
//!
//! A request is queued again only after the confirmed end of a cancellation that the dispatcher
//! requested. After any other end the entry sends the request again under a new number.

mod admission;
mod grants;
mod load_reports;
mod permits;
mod rows;

use std::collections::{BTreeMap, BTreeSet};

use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

pub use rows::RowUsage;

use crate::endpoint::Endpoint;
use crate::fair_queue::{FairQueue, QueuePosition};
use crate::length_estimator::LengthEstimator;
use crate::permit::Permit;
use crate::prefix_index::PrefixIndex;
use crate::request_spec::{RequestSpec, RowIndex};
use crate::row::Row;
use crate::{
    Action, CustomerIndex, EndpointProfile, Event, KindIndex, ModelIndex, Policy, Settings,
};

/// Scheduler of one shard: grants, refuses and cancels requests for its endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    endpoints: Vec<Endpoint>,
    /// Times at which queued requests reach their longest wait.
    expiries: BTreeSet<(u64, RequestId)>,
    /// No grant before this time, while permits of an earlier owner may be unknown.
    grants_delayed_until_us: u64,
    lengths: LengthEstimator,
    next_arrival_number: u64,
    next_permit: u64,
    /// Time of the last event.
    now_us: u64,
    permits: BTreeMap<PermitId, Permit>,
    pools: Vec<Pool>,
    prefix_index: PrefixIndex,
    queued: BTreeMap<RequestId, QueuedRequest>,
    rng: Xoshiro256PlusPlus,
    /// Times at which rate-limited rows may run another request.
    row_eligible_times: BTreeSet<(u64, RowIndex)>,
    row_indexes: BTreeMap<(CustomerIndex, KindIndex), RowIndex>,
    rows: Vec<Row>,
    running: BTreeMap<RequestId, PermitId>,
    settings: Settings,
}

/// Fair queue and decode speed of one model.
#[derive(Debug)]
struct Pool {
    /// Whether no request could be granted and nothing has changed since.
    is_blocked: bool,
    model: ModelIndex,
    queue: FairQueue,
    /// Moving average of the engine time per generated token.
    token_us: f64,
}

/// A request in a fair queue.
#[derive(Debug)]
struct QueuedRequest {
    /// First time at which a later request was granted before this one.
    bypassed_since_us: Option<u64>,
    cost_us: u64,
    expires_us: u64,
    spec: RequestSpec,
}

impl QueuedRequest {
    fn position(&self) -> QueuePosition {
        QueuePosition {
            arrival_number: self.spec.arrival_number,
            cost_us: self.cost_us,
            row: self.spec.row,
            urgent: self.spec.urgent,
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without state. `seed` is for choices between equal endpoints.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            expiries: BTreeSet::new(),
            grants_delayed_until_us: 0,
            lengths: LengthEstimator::new(&settings),
            next_arrival_number: 0,
            next_permit: 1,
            now_us: 0,
            permits: BTreeMap::new(),
            pools: Vec::new(),
            prefix_index: PrefixIndex::default(),
            queued: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            row_eligible_times: BTreeSet::new(),
            row_indexes: BTreeMap::new(),
            rows: Vec::new(),
            running: BTreeMap::new(),
            settings,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.queued.len()
    }

    fn record_announcement(&mut self, id: EndpointId, profile: &EndpointProfile) {
        let endpoint = self.endpoint_mut(id);
        endpoint.profile = Some(profile.clone());
        endpoint.ready = true;
    }

    fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        let index = self.endpoint_index(id).ok()?;
        Some(&self.endpoints[index])
    }

    fn endpoint_index(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by_key(&id, |endpoint| endpoint.id)
    }

    /// The endpoint. A new one is created without a profile.
    fn endpoint_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        let index = self.endpoint_index(id).unwrap_or_else(|index| {
            self.endpoints
                .insert(index, Endpoint::new(id, &self.settings));
            index
        });
        &mut self.endpoints[index]
    }

    fn remove_endpoint(&mut self, now_us: u64, id: EndpointId) {
        let numbers: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| permit.endpoint == id)
            .map(|(&number, _)| number)
            .collect();
        for number in numbers {
            self.fail_permit(now_us, number);
        }
        let Ok(index) = self.endpoint_index(id) else {
            return;
        };
        let mut endpoint = self.endpoints.remove(index);
        self.prefix_index
            .remove_endpoint(id, &mut endpoint.retention);
    }

    /// The pool of a model. A new one is created if needed.
    fn pool_index(&mut self, model: ModelIndex) -> usize {
        let found = self.pools.binary_search_by_key(&model, |pool| pool.model);
        found.unwrap_or_else(|index| {
            let pool = Pool {
                is_blocked: false,
                model,
                queue: FairQueue::default(),
                token_us: self.settings.initial_token_us,
            };
            self.pools.insert(index, pool);
            index
        })
    }
}

impl Policy for Dispatcher {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now_us = now_us;
        self.refuse_expired(now_us, actions);
        self.update_due_rows(now_us);
        match event {
            Event::EndpointAnnounced { endpoint, profile } => {
                self.record_announcement(endpoint, profile);
            }
            Event::BlocksCached { endpoint, hashes } => self.record_cached_blocks(endpoint, hashes),
            Event::BlocksEvicted { endpoint, hashes } => {
                for &hash in hashes {
                    self.prefix_index.record_evicted(endpoint, hash);
                }
            }
            Event::PermitEnded {
                end,
                generated_tokens,
                permit,
            } => self.end_permit(now_us, permit, end, generated_tokens),
            Event::EndpointLapsed { endpoint } => self.remove_endpoint(now_us, endpoint),
            Event::EndpointLeaving { endpoint } => self.endpoint_mut(endpoint).ready = false,
            Event::LimitsChanged { limits } => self.set_limits(now_us, limits),
            Event::GenerationProgressed {
                generated_tokens,
                permit,
            } => {
                if !self.record_progress(now_us, permit, generated_tokens) {
                    return self.grant_all(now_us, actions);
                }
            }
            Event::LoadReported {
                age_us,
                endpoint,
                load,
            } => self.record_load_report(now_us, age_us, endpoint, load, actions),
            Event::RequestArrived { demand, request } => {
                self.handle_request(now_us, request, demand, actions);
                return;
            }
            Event::Tick => {}
            Event::RequestWithdrawn { request } => self.withdraw(request),
        }
        self.unblock_pools();
        self.grant_all(now_us, actions);
    }

    fn name(&self) -> &'static str {
        "permits"
    }

    fn next_tick_us(&self) -> Option<u64> {
        let expiry_us = self.expiries.first().map(|&(at_us, _)| at_us);
        let row_eligible_us = self.row_eligible_times.first().map(|&(at_us, _)| at_us);
        let resumption_us = self.next_resumption_us();
        [expiry_us, row_eligible_us, resumption_us]
            .into_iter()
            .flatten()
            .min()
    }
}
