use std::collections::{BTreeMap, VecDeque};

use dispatch::{Action, Demand, EndpointProfile, Event, ModelIndex, Policy, RefusalReason};
use names::{EndpointId, PermitId, RequestId};

/// Central policy that reserves KV cache for the prompt and the maximum length of each request.
///
/// Grants permits in order of arrival.
#[derive(Debug, Default)]
pub struct ReservationPolicy {
    endpoints: Vec<EndpointReservations>,
    next_permit: u64,
    permits: BTreeMap<PermitId, PermitReservation>,
    waiting: VecDeque<WaitingRequest>,
}

/// Memory that a permit reserves on an endpoint.
#[derive(Debug)]
struct PermitReservation {
    endpoint: EndpointId,
    reserved_tokens: u64,
}

/// Memory that the running requests of one endpoint reserve.
#[derive(Debug)]
struct EndpointReservations {
    id: EndpointId,
    is_ready: bool,
    profile: EndpointProfile,
    reserved_tokens: u64,
    running: u32,
}

/// Request that waits for free memory.
#[derive(Debug)]
struct WaitingRequest {
    deadline_us: u64,
    model: ModelIndex,
    request: RequestId,
    required_tokens: u64,
}

impl ReservationPolicy {
    /// Builds the policy; it has no endpoints yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn add_endpoint(&mut self, endpoint: EndpointId, profile: &EndpointProfile) {
        self.endpoints.retain(|known| known.id != endpoint);
        self.endpoints.push(EndpointReservations {
            id: endpoint,
            is_ready: true,
            profile: profile.clone(),
            reserved_tokens: 0,
            running: 0,
        });
        self.endpoints.sort_by_key(|known| known.id);
    }

    fn enqueue(&mut self, demand: &Demand, request: RequestId) {
        self.waiting.push_back(WaitingRequest {
            deadline_us: demand.deadline_us,
            model: demand.model,
            request,
            required_tokens: u64::from(demand.prompt_tokens) + u64::from(demand.max_tokens),
        });
    }

    fn end_permit(&mut self, permit: PermitId) {
        let Some(PermitReservation {
            endpoint,
            reserved_tokens,
        }) = self.permits.remove(&permit)
        else {
            return;
        };
        if let Some(endpoint) = self.endpoints.iter_mut().find(|known| known.id == endpoint) {
            endpoint.running = endpoint.running.saturating_sub(1);
            endpoint.reserved_tokens = endpoint.reserved_tokens.saturating_sub(reserved_tokens);
        }
    }

    /// Grants permits in order of arrival; a request that fits no endpoint blocks its model.
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
                let reserved_tokens = waiting.required_tokens;
                self.permits.insert(
                    permit,
                    PermitReservation {
                        endpoint,
                        reserved_tokens,
                    },
                );
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

    fn reserve(&mut self, waiting: &WaitingRequest) -> Option<EndpointId> {
        let eligible = self
            .endpoints
            .iter_mut()
            .filter(|known| known.fits(waiting));
        let chosen = eligible.min_by_key(|known| known.reserved_tokens)?;
        chosen.running += 1;
        chosen.reserved_tokens += waiting.required_tokens;
        Some(chosen.id)
    }
}

impl EndpointReservations {
    fn fits(&self, waiting: &WaitingRequest) -> bool {
        self.is_ready
            && self.profile.model == waiting.model
            && self.running < self.profile.sequences_max
            && self.reserved_tokens + waiting.required_tokens <= self.profile.memory_tokens
    }
}

impl Policy for ReservationPolicy {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointAnnounced { endpoint, profile } => self.add_endpoint(endpoint, profile),
            Event::PermitEnded { permit, .. } => self.end_permit(permit),
            Event::EndpointLapsed { endpoint } | Event::EndpointLeaving { endpoint } => {
                let affected = self.endpoints.iter_mut();
                let affected = affected.filter(|known| known.id == endpoint);
                affected.for_each(|known| known.is_ready = false);
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
