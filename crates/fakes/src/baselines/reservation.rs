use std::collections::{BTreeMap, VecDeque};

use dispatch::{Action, Demand, EndpointProfile, Event, ModelIndex, Policy, RefusalReason};
use names::{EndpointId, PermitId, RequestId};

/// Grants centrally, in order of arrival, where prompt and longest answer fit the memory.
#[derive(Debug, Default)]
pub struct ReservationPolicy {
    endpoints: Vec<Reserved>,
    next_permit: u64,
    permits: BTreeMap<PermitId, Held>,
    waiting: VecDeque<Waiting>,
}

/// What a permit reserves.
#[derive(Debug)]
struct Held {
    endpoint: EndpointId,
    tokens: u64,
}

#[derive(Debug)]
struct Reserved {
    endpoint: EndpointId,
    profile: EndpointProfile,
    ready: bool,
    running: u32,
    tokens: u64,
}

#[derive(Debug)]
struct Waiting {
    deadline_us: u64,
    model: ModelIndex,
    request: RequestId,
    tokens: u64,
}

impl ReservationPolicy {
    /// Knows no endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn announce(&mut self, endpoint: EndpointId, profile: &EndpointProfile) {
        self.endpoints.retain(|known| known.endpoint != endpoint);
        self.endpoints.push(Reserved {
            endpoint,
            profile: profile.clone(),
            ready: true,
            running: 0,
            tokens: 0,
        });
        self.endpoints.sort_by_key(|known| known.endpoint);
    }

    fn enqueue(&mut self, demand: &Demand, request: RequestId) {
        self.waiting.push_back(Waiting {
            deadline_us: demand.deadline_us,
            model: demand.model,
            request,
            tokens: u64::from(demand.prompt_tokens) + u64::from(demand.max_tokens),
        });
    }

    fn finish(&mut self, permit: PermitId) {
        let Some(Held { endpoint, tokens }) = self.permits.remove(&permit) else {
            return;
        };
        if let Some(known) = self.endpoints.iter_mut().find(|e| e.endpoint == endpoint) {
            known.running = known.running.saturating_sub(1);
            known.tokens = known.tokens.saturating_sub(tokens);
        }
    }

    /// Grants, model by model, until the first request that fits nowhere.
    fn grant_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut blocked = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let request = waiting.request;
            if waiting.deadline_us <= now_us {
                let (reason, retry_after_ms) = (RefusalReason::WaitedTooLong, 1000);
                actions.push(Action::Refuse {
                    reason,
                    request,
                    retry_after_ms,
                });
            } else if blocked.contains(&waiting.model) {
                self.waiting.push_back(waiting);
            } else if let Some(endpoint) = self.reserve(&waiting) {
                let permit = PermitId(self.next_permit);
                self.next_permit += 1;
                let tokens = waiting.tokens;
                self.permits.insert(permit, Held { endpoint, tokens });
                actions.push(Action::Grant {
                    endpoint,
                    permit,
                    priority: 0,
                    request,
                });
            } else {
                blocked.push(waiting.model);
                self.waiting.push_back(waiting);
            }
        }
    }

    fn reserve(&mut self, waiting: &Waiting) -> Option<EndpointId> {
        let open = self
            .endpoints
            .iter_mut()
            .filter(|known| known.fits(waiting));
        let chosen = open.min_by_key(|known| known.tokens)?;
        chosen.running += 1;
        chosen.tokens += waiting.tokens;
        Some(chosen.endpoint)
    }
}

impl Reserved {
    fn fits(&self, waiting: &Waiting) -> bool {
        self.ready
            && self.profile.model == waiting.model
            && self.running < self.profile.sequences_max
            && self.tokens + waiting.tokens <= self.profile.memory_tokens
    }
}

impl Policy for ReservationPolicy {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointAnnounced { endpoint, profile } => self.announce(endpoint, profile),
            Event::PermitEnded { permit, .. } => self.finish(permit),
            Event::EndpointLapsed { endpoint } | Event::EndpointLeaving { endpoint } => {
                let left = self.endpoints.iter_mut();
                let left = left.filter(|known| known.endpoint == endpoint);
                left.for_each(|known| known.ready = false);
            }
            Event::RequestArrived { demand, request } => self.enqueue(demand, request),
            Event::RequestWithdrawn { request } => {
                self.waiting.retain(|waiting| waiting.request != request);
            }
            _ => return,
        }
        self.grant_all(now_us, actions);
    }

    fn name(&self) -> &'static str {
        "reservation"
    }

    fn next_tick_us(&self) -> Option<u64> {
        None
    }
}
