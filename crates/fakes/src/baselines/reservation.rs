use std::collections::{BTreeMap, VecDeque};

use dispatch::{Action, Demand, Event, ModelIndex, Policy, Profile, RefusalReason};
use names::{EndpointId, PermitId, RequestId};

/// Grants centrally, in order of arrival, where prompt and longest answer fit the memory.
#[derive(Debug, Default)]
pub struct Reservation {
    endpoints: Vec<Reserved>,
    next_permit: u64,
    permits: BTreeMap<PermitId, (EndpointId, u64)>,
    queues: Vec<(ModelIndex, VecDeque<Waiting>)>,
}

#[derive(Debug)]
struct Reserved {
    endpoint: EndpointId,
    profile: Profile,
    ready: bool,
    running: u32,
    tokens: u64,
}

#[derive(Debug)]
struct Waiting {
    deadline_us: u64,
    request: RequestId,
    tokens: u64,
}

impl Reservation {
    /// Knows no endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn announce(&mut self, endpoint: EndpointId, profile: &Profile) {
        self.endpoints.retain(|known| known.endpoint != endpoint);
        let profile = profile.clone();
        self.endpoints.push(Reserved {
            endpoint,
            profile,
            ready: true,
            running: 0,
            tokens: 0,
        });
        self.endpoints.sort_by_key(|known| known.endpoint);
    }

    fn enqueue(&mut self, demand: &Demand, request: RequestId) {
        let found = self
            .queues
            .iter()
            .position(|(model, _)| *model == demand.model);
        let position = found.unwrap_or_else(|| {
            self.queues.push((demand.model, VecDeque::new()));
            self.queues.len() - 1
        });
        let tokens = u64::from(demand.prompt_tokens) + u64::from(demand.max_tokens);
        let deadline_us = demand.deadline_us;
        self.queues[position].1.push_back(Waiting {
            deadline_us,
            request,
            tokens,
        });
    }

    fn finish(&mut self, permit: PermitId) {
        let Some((endpoint, tokens)) = self.permits.remove(&permit) else {
            return;
        };
        let reserved = self
            .endpoints
            .iter_mut()
            .find(|known| known.endpoint == endpoint);
        if let Some(reserved) = reserved {
            reserved.running = reserved.running.saturating_sub(1);
            reserved.tokens = reserved.tokens.saturating_sub(tokens);
        }
    }

    fn grant_all(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for (model, queue) in &mut self.queues {
            while let Some(waiting) = queue.front() {
                let request = waiting.request;
                if waiting.deadline_us <= now_us {
                    let reason = RefusalReason::WaitedTooLong;
                    actions.push(Action::Refuse {
                        reason,
                        request,
                        retry_after_ms: 1000,
                    });
                    queue.pop_front();
                    continue;
                }
                let tokens = waiting.tokens;
                let fits = |known: &&mut Reserved| {
                    known.ready
                        && known.profile.model == *model
                        && known.running < known.profile.sequences_max
                        && known.tokens + tokens <= known.profile.memory_tokens
                };
                let open = self.endpoints.iter_mut().filter(fits);
                let Some(chosen) = open.min_by_key(|known| known.tokens) else {
                    break;
                };
                chosen.running += 1;
                chosen.tokens += tokens;
                let permit = PermitId(self.next_permit);
                self.next_permit += 1;
                let endpoint = chosen.endpoint;
                self.permits.insert(permit, (endpoint, tokens));
                actions.push(Action::Grant {
                    endpoint,
                    permit,
                    priority: 0,
                    request,
                });
                queue.pop_front();
            }
        }
    }
}

impl Policy for Reservation {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Announced { endpoint, profile } => self.announce(endpoint, profile),
            Event::Finished { permit, .. } => self.finish(permit),
            Event::Lapsed { endpoint } | Event::Leaving { endpoint } => {
                let left = self
                    .endpoints
                    .iter_mut()
                    .filter(|known| known.endpoint == endpoint);
                left.for_each(|known| known.ready = false);
            }
            Event::Requested { demand, request } => self.enqueue(demand, request),
            Event::Withdrawn { request } => {
                for (_, queue) in &mut self.queues {
                    queue.retain(|waiting| waiting.request != request);
                }
            }
            _ => return,
        }
        self.grant_all(now_us, actions);
    }

    fn name(&self) -> &'static str {
        "reservation"
    }

    fn wake_us(&self) -> Option<u64> {
        None
    }
}
