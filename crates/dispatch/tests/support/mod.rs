//! A host that drives the dispatcher, keeps its own records and checks every action against them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    Action, CustomerIndex, Demand, Dispatcher, EndpointLoad, EndpointProfile, Event, KindIndex,
    ModelIndex, PermitEnd, Policy, RefusalReason, RegionIndex, RowLimits, Settings,
};
use names::{EndpointId, PermitId, RequestId};

/// State of a request, as the host recorded it.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RequestState {
    Ended,
    Granted(PermitId),
    Refused(RefusalReason),
    Waiting,
    Withdrawn,
}

/// A granted permit that has not ended, as the host recorded it.
#[derive(Debug, Clone)]
pub struct RunningPermit {
    pub demand: Demand,
    pub endpoint: EndpointId,
    pub generated_tokens: u32,
    pub is_cancelling: bool,
    pub priority: i32,
    pub request: RequestId,
}

/// Owner of a dispatcher, with records of all requests, permits and endpoints.
pub struct Host {
    pub actions: Vec<Action>,
    pub demands: BTreeMap<RequestId, Demand>,
    pub dispatcher: Dispatcher,
    /// Time of the last failure or refusal of each endpoint.
    pub last_failure_us: BTreeMap<EndpointId, u64>,
    pub limits: BTreeMap<(u32, u32), RowLimits>,
    pub next_request: u64,
    pub now_us: u64,
    pub profiles: BTreeMap<EndpointId, EndpointProfile>,
    pub request_states: BTreeMap<RequestId, RequestState>,
    pub running: BTreeMap<PermitId, RunningPermit>,
}

pub fn limits(customer: u32, kind: u32) -> RowLimits {
    RowLimits {
        customer: CustomerIndex(customer),
        kind: KindIndex(kind),
        priority: 0,
        queued_max: 1_000,
        queueing_ms_max: 60_000,
        running_max: 1_000,
        tokens_per_second_max: None,
        urgent_share: 0.5,
        weight: 1.0,
    }
}

pub fn profile(memory_tokens: u64, sequences_max: u32) -> EndpointProfile {
    EndpointProfile {
        block_tokens: 16,
        memory_tokens,
        model: ModelIndex(0),
        region: RegionIndex(0),
        sequences_max,
    }
}

pub fn demand(customer: u32, prompt_tokens: u32, max_tokens: u32) -> Demand {
    Demand {
        customer: CustomerIndex(customer),
        deadline_us: u64::MAX,
        kind: KindIndex(0),
        max_tokens,
        model: ModelIndex(0),
        prefix_hashes: Vec::new(),
        prompt_tokens,
        region: RegionIndex(0),
        urgent: false,
    }
}

impl Host {
    pub fn new(seed: u64) -> Self {
        Self::with_settings(Settings::default(), seed)
    }

    pub fn with_settings(settings: Settings, seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            demands: BTreeMap::new(),
            dispatcher: Dispatcher::new(settings, seed),
            last_failure_us: BTreeMap::new(),
            limits: BTreeMap::new(),
            next_request: 0,
            now_us: 0,
            profiles: BTreeMap::new(),
            request_states: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Records a permit that the dispatcher adopted.
    pub fn add_adopted_permit(&mut self, permit: PermitId, demand: Demand) {
        let running = RunningPermit {
            demand,
            endpoint: EndpointId(0),
            generated_tokens: 60,
            is_cancelling: false,
            priority: 0,
            request: RequestId(100 + permit.0),
        };
        self.running.insert(permit, running);
    }

    pub fn announce(&mut self, endpoint: u64, profile: &EndpointProfile) {
        let endpoint = EndpointId(endpoint);
        self.profiles.insert(endpoint, profile.clone());
        self.handle(Event::EndpointAnnounced { endpoint, profile });
    }

    pub fn end_permit(&mut self, permit: PermitId, end: PermitEnd) {
        let Some(running) = self.running.remove(&permit) else {
            return;
        };
        let state = if running.is_cancelling && end == PermitEnd::Cancelled {
            RequestState::Waiting
        } else {
            RequestState::Ended
        };
        self.request_states.insert(running.request, state);
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            self.last_failure_us.insert(running.endpoint, self.now_us);
        }
        self.handle(Event::PermitEnded {
            end,
            generated_tokens: running.generated_tokens,
            permit,
        });
    }

    pub fn lapse(&mut self, endpoint: u64) {
        let endpoint = EndpointId(endpoint);
        self.profiles.remove(&endpoint);
        for running in self
            .running
            .values()
            .filter(|running| running.endpoint == endpoint)
        {
            self.request_states
                .insert(running.request, RequestState::Ended);
        }
        self.running
            .retain(|_, running| running.endpoint != endpoint);
        self.handle(Event::EndpointLapsed { endpoint });
    }

    pub fn leave(&mut self, endpoint: u64) {
        self.profiles.remove(&EndpointId(endpoint));
        self.handle(Event::EndpointLeaving {
            endpoint: EndpointId(endpoint),
        });
    }

    pub fn advance_us(&mut self, by_us: u64) {
        let until_us = self.now_us + by_us;
        while let Some(next_tick_us) = self
            .dispatcher
            .next_tick_us()
            .filter(|&at_us| at_us <= until_us)
        {
            if next_tick_us <= self.now_us {
                break;
            }
            self.now_us = next_tick_us;
            self.handle(Event::Tick);
        }
        self.now_us = until_us;
        self.handle(Event::Tick);
    }

    pub fn progress(&mut self, permit: PermitId, by_tokens: u32) {
        let Some(running) = self.running.get_mut(&permit) else {
            return;
        };
        running.generated_tokens =
            (running.generated_tokens + by_tokens).min(running.demand.max_tokens);
        running.is_cancelling = running.is_cancelling && running.generated_tokens == 0;
        let generated_tokens = running.generated_tokens;
        self.handle(Event::GenerationProgressed {
            generated_tokens,
            permit,
        });
    }

    pub fn report_load(&mut self, endpoint: u64, load: &EndpointLoad) {
        self.handle(Event::LoadReported {
            age_us: 0,
            endpoint: EndpointId(endpoint),
            load,
        });
    }

    pub fn request(&mut self, demand: &Demand) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.demands.insert(request, demand.clone());
        self.request_states.insert(request, RequestState::Waiting);
        self.handle(Event::RequestArrived { demand, request });
        request
    }

    pub fn set_limits(&mut self, limits: RowLimits) {
        let key = (limits.customer.0, limits.kind.0);
        self.limits.insert(key, limits.clone());
        self.handle(Event::LimitsChanged { limits: &[limits] });
    }

    pub fn withdraw(&mut self, request: RequestId) {
        match self.request_states[&request] {
            RequestState::Waiting => self.request_states.insert(request, RequestState::Withdrawn),
            _ => return,
        };
        self.handle(Event::RequestWithdrawn { request });
    }

    pub fn running_of(&self, customer: u32) -> usize {
        let is_of_customer = |running: &&RunningPermit| running.demand.customer.0 == customer;
        self.running.values().filter(is_of_customer).count()
    }

    pub fn waiting(&self) -> usize {
        self.request_states
            .values()
            .filter(|&&state| state == RequestState::Waiting)
            .count()
    }

    /// Memory that the permits of an endpoint use, with shared blocks counted once.
    pub fn occupied_tokens(&self, endpoint: EndpointId) -> u64 {
        let block_tokens = u64::from(self.profiles[&endpoint].block_tokens.max(1));
        let mut shared_hashes: BTreeSet<u64> = BTreeSet::new();
        let mut private_tokens = 0;
        for running in self
            .running
            .values()
            .filter(|running| running.endpoint == endpoint)
        {
            let tokens = running.demand.prompt_tokens + running.generated_tokens;
            let hashes = &running.demand.prefix_hashes;
            private_tokens += u64::from(tokens).next_multiple_of(block_tokens);
            private_tokens -= hashes.len() as u64 * block_tokens;
            shared_hashes.extend(hashes);
        }
        private_tokens + shared_hashes.len() as u64 * block_tokens
    }

    /// Whether an endpoint is idle although it has memory for each of the waiting requests and one
    /// of their rows is below its limit.
    pub fn has_idle_endpoint(&self) -> bool {
        let waiting: Vec<&Demand> = self
            .request_states
            .iter()
            .filter(|&(_, &state)| state == RequestState::Waiting)
            .map(|(request, _)| &self.demands[request])
            .collect();
        let is_below_limit = |demand: &&&Demand| {
            let row = &self.limits[&(demand.customer.0, demand.kind.0)];
            self.running_of(demand.customer.0) < row.running_max as usize
        };
        let serves_all = |profile: &EndpointProfile| {
            let fits =
                |demand: &&Demand| u64::from(demand.prompt_tokens) + 16 <= profile.memory_tokens;
            waiting.iter().all(fits)
        };
        let has_idle = self.profiles.iter().any(|(endpoint, profile)| {
            let is_busy = self
                .running
                .values()
                .any(|running| running.endpoint == *endpoint);
            let last_failure_us = self.last_failure_us.get(endpoint);
            let is_paused = last_failure_us.is_some_and(|&at_us| self.now_us < at_us + 1_000_000);
            !is_busy && !is_paused && serves_all(profile)
        });
        has_idle && waiting.iter().any(|demand| is_below_limit(&demand))
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now_us, event, &mut actions);
        for &action in &actions {
            self.check(action);
        }
        let next_tick_us = self.dispatcher.next_tick_us();
        assert!(
            next_tick_us.is_none_or(|at_us| at_us > self.now_us),
            "the next tick is not in the future"
        );
        self.actions.extend(actions);
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Cancel { permit } => {
                let running = self
                    .running
                    .get_mut(&permit)
                    .expect("a cancelled permit exists");
                assert_eq!(
                    running.generated_tokens, 0,
                    "a permit with tokens is cancelled"
                );
                assert!(!running.is_cancelling, "a permit is cancelled twice");
                running.is_cancelling = true;
            }
            Action::Grant {
                endpoint,
                permit,
                priority,
                request,
            } => self.check_grant(endpoint, permit, priority, request),
            Action::Refuse {
                reason,
                request,
                retry_after_ms,
            } => {
                assert!(retry_after_ms > 0, "a refusal allows a retry at once");
                let previous = self
                    .request_states
                    .insert(request, RequestState::Refused(reason));
                assert_eq!(
                    previous,
                    Some(RequestState::Waiting),
                    "a request that does not wait is refused"
                );
            }
        }
    }

    fn check_grant(
        &mut self,
        endpoint: EndpointId,
        permit: PermitId,
        priority: i32,
        request: RequestId,
    ) {
        let previous = self
            .request_states
            .insert(request, RequestState::Granted(permit));
        assert_eq!(
            previous,
            Some(RequestState::Waiting),
            "a request that does not wait is granted"
        );
        let demand = self.demands[&request].clone();
        let row = &self.limits[&(demand.customer.0, demand.kind.0)];
        assert_eq!(priority, row.priority);
        let running = RunningPermit {
            demand: demand.clone(),
            endpoint,
            generated_tokens: 0,
            is_cancelling: false,
            priority,
            request,
        };
        let previous = self.running.insert(permit, running);
        assert!(previous.is_none(), "a permit number is used twice");
        let running_of_row = self.running.values().filter(|other| {
            other.demand.customer == demand.customer && other.demand.kind == demand.kind
        });
        assert!(running_of_row.count() <= row.running_max as usize);
        let profile = &self.profiles[&endpoint];
        let on_endpoint = self
            .running
            .values()
            .filter(|running| running.endpoint == endpoint);
        assert!(on_endpoint.count() <= profile.sequences_max as usize);
        assert!(self.occupied_tokens(endpoint) <= profile.memory_tokens);
        assert_eq!(profile.model, demand.model);
    }
}
