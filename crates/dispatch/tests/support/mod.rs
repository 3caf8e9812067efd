//! A host for the dispatcher that keeps its own books and checks every action against them.

#![allow(dead_code, reason = "each test file uses part of it")]

use std::collections::{BTreeMap, BTreeSet};

use dispatch::{
    Action, CustomerIndex, Demand, Dispatcher, EndpointLoad, EndpointProfile, Event, KindIndex,
    ModelIndex, PermitEnd, Policy, RefusalReason, RegionIndex, RowLimits, Settings,
};
use names::{EndpointId, PermitId, RequestId};

/// What became of a request.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum Fate {
    Ended,
    Granted(PermitId),
    Refused(RefusalReason),
    Waiting,
    Withdrawn,
}

/// A permit as the host sees it.
#[derive(Debug, Clone)]
pub struct Running {
    pub cancelling: bool,
    pub demand: Demand,
    pub endpoint: EndpointId,
    pub generated_tokens: u32,
    pub priority: i32,
    pub request: RequestId,
}

pub struct Host {
    pub actions: Vec<Action>,
    pub demands: BTreeMap<RequestId, Demand>,
    pub dispatcher: Dispatcher,
    pub fates: BTreeMap<RequestId, Fate>,
    pub limits: BTreeMap<(u32, u32), RowLimits>,
    pub next_request: u64,
    pub now_us: u64,
    pub profiles: BTreeMap<EndpointId, EndpointProfile>,
    pub unserved_us: BTreeMap<EndpointId, u64>,
    pub running: BTreeMap<PermitId, Running>,
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
            fates: BTreeMap::new(),
            limits: BTreeMap::new(),
            next_request: 0,
            now_us: 0,
            profiles: BTreeMap::new(),
            unserved_us: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Lets the host know a permit that the dispatcher adopted.
    pub fn adopted(&mut self, permit: PermitId, demand: Demand) {
        let running = Running {
            cancelling: false,
            demand,
            endpoint: EndpointId(0),
            generated_tokens: 60,
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

    pub fn finish(&mut self, permit: PermitId, end: PermitEnd) {
        let Some(running) = self.running.remove(&permit) else {
            return;
        };
        let fate = if running.cancelling && end == PermitEnd::Cancelled {
            Fate::Waiting
        } else {
            Fate::Ended
        };
        self.fates.insert(running.request, fate);
        if matches!(end, PermitEnd::Failed | PermitEnd::Refused) {
            self.unserved_us.insert(running.endpoint, self.now_us);
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
        for running in self.running.values().filter(|r| r.endpoint == endpoint) {
            self.fates.insert(running.request, Fate::Ended);
        }
        self.running.retain(|_, r| r.endpoint != endpoint);
        self.handle(Event::EndpointLapsed { endpoint });
    }

    pub fn leave(&mut self, endpoint: u64) {
        self.profiles.remove(&EndpointId(endpoint));
        self.handle(Event::EndpointLeaving {
            endpoint: EndpointId(endpoint),
        });
    }

    pub fn pass_us(&mut self, by_us: u64) {
        let until_us = self.now_us + by_us;
        while let Some(next_tick_us) = self.dispatcher.next_tick_us().filter(|&at| at <= until_us) {
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
        running.cancelling = running.cancelling && running.generated_tokens == 0;
        let generated_tokens = running.generated_tokens;
        self.handle(Event::GenerationProgressed {
            generated_tokens,
            permit,
        });
    }

    pub fn report(&mut self, endpoint: u64, report: &EndpointLoad) {
        self.handle(Event::LoadReported {
            age_us: 0,
            endpoint: EndpointId(endpoint),
            load: report,
        });
    }

    pub fn request(&mut self, demand: &Demand) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.demands.insert(request, demand.clone());
        self.fates.insert(request, Fate::Waiting);
        self.handle(Event::RequestArrived { demand, request });
        request
    }

    pub fn set_limits(&mut self, limits: RowLimits) {
        let key = (limits.customer.0, limits.kind.0);
        self.limits.insert(key, limits.clone());
        self.handle(Event::LimitsChanged { limits: &[limits] });
    }

    pub fn withdraw(&mut self, request: RequestId) {
        match self.fates[&request] {
            Fate::Waiting => self.fates.insert(request, Fate::Withdrawn),
            _ => return,
        };
        self.handle(Event::RequestWithdrawn { request });
    }

    pub fn running_of(&self, customer: u32) -> usize {
        let of = |running: &&Running| running.demand.customer.0 == customer;
        self.running.values().filter(of).count()
    }

    pub fn waiting(&self) -> usize {
        self.fates.values().filter(|&&f| f == Fate::Waiting).count()
    }

    pub fn known_tokens(&self, endpoint: EndpointId) -> u64 {
        let block = u64::from(self.profiles[&endpoint].block_tokens.max(1));
        let mut shared: BTreeSet<u64> = BTreeSet::new();
        let mut private_tokens = 0;
        for running in self.running.values().filter(|r| r.endpoint == endpoint) {
            let tokens = running.demand.prompt_tokens + running.generated_tokens;
            let hashes = &running.demand.prefix_hashes;
            private_tokens += u64::from(tokens).next_multiple_of(block);
            private_tokens -= hashes.len() as u64 * block;
            shared.extend(hashes);
        }
        private_tokens + shared.len() as u64 * block
    }

    /// Whether an endpoint stands idle although it could serve all that waits.
    pub fn idles(&self) -> bool {
        let waiting: Vec<&Demand> = self
            .fates
            .iter()
            .filter(|&(_, &fate)| fate == Fate::Waiting)
            .map(|(request, _)| &self.demands[request])
            .collect();
        let open = |demand: &&&Demand| {
            let row = &self.limits[&(demand.customer.0, demand.kind.0)];
            self.running_of(demand.customer.0) < row.running_max as usize
        };
        let serves_all = |profile: &EndpointProfile| {
            let fits = |d: &&Demand| u64::from(d.prompt_tokens) + 16 <= profile.memory_tokens;
            waiting.iter().all(fits)
        };
        let idle = self.profiles.iter().any(|(endpoint, profile)| {
            let busy = self.running.values().any(|r| r.endpoint == *endpoint);
            let unserved_us = self.unserved_us.get(endpoint);
            let paused = unserved_us.is_some_and(|&at| self.now_us < at + 1_000_000);
            !busy && !paused && serves_all(profile)
        });
        idle && waiting.iter().any(|demand| open(&demand))
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
            "wants to be woken in the past"
        );
        self.actions.extend(actions);
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Cancel { permit } => {
                let running = self.running.get_mut(&permit).expect("cancels a permit");
                assert_eq!(running.generated_tokens, 0, "cancels what delivered tokens");
                assert!(!running.cancelling, "cancels twice");
                running.cancelling = true;
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
                assert!(retry_after_ms > 0, "asks for a repeat at once");
                let before = self.fates.insert(request, Fate::Refused(reason));
                assert_eq!(before, Some(Fate::Waiting), "refuses what does not wait");
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
        let before = self.fates.insert(request, Fate::Granted(permit));
        assert_eq!(before, Some(Fate::Waiting), "grants what does not wait");
        let demand = self.demands[&request].clone();
        let row = &self.limits[&(demand.customer.0, demand.kind.0)];
        assert_eq!(priority, row.priority);
        let running = Running {
            cancelling: false,
            demand: demand.clone(),
            endpoint,
            generated_tokens: 0,
            priority,
            request,
        };
        let doubled = self.running.insert(permit, running);
        assert!(doubled.is_none(), "permit numbers are used once");
        let rows_running = self.running.values().filter(|other| {
            other.demand.customer == demand.customer && other.demand.kind == demand.kind
        });
        assert!(rows_running.count() <= row.running_max as usize);
        let profile = &self.profiles[&endpoint];
        let here = self.running.values().filter(|r| r.endpoint == endpoint);
        assert!(here.count() <= profile.sequences_max as usize);
        assert!(self.known_tokens(endpoint) <= profile.memory_tokens);
        assert_eq!(profile.model, demand.model);
    }
}
