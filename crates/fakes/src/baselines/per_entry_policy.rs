use dispatch::{Action, Event, Policy, RefusalReason};
use names::EndpointId;

use crate::baselines::entry_views::{ENTRY_COUNT, EntryViews, KnownEndpoint};

/// How an entry instance chooses an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum EndpointChoice {
    /// The endpoint with the fewest requests in the entry's view.
    LeastRequests,
    /// Of two random endpoints, the one with fewer requests in the entry's view.
    PowerOfTwo,
    /// All endpoints in turn; each entry begins with another endpoint.
    RoundRobin,
}

/// Policy in which each entry instance dispatches a request at once, from its own view.
#[derive(Debug)]
pub struct PerEntryPolicy {
    choice: EndpointChoice,
    next_turns: [usize; ENTRY_COUNT],
    views: EntryViews,
}

impl PerEntryPolicy {
    /// Builds the policy; its views have no endpoints yet.
    #[must_use]
    pub fn new(choice: EndpointChoice, seed: u64) -> Self {
        Self {
            choice,
            next_turns: std::array::from_fn(|entry| entry * 7),
            views: EntryViews::new(seed),
        }
    }

    fn choose(&mut self, now_us: u64, entry: usize, event: &Event<'_>) -> Option<EndpointId> {
        let Event::RequestArrived { demand, .. } = event else {
            return None;
        };
        let first_index = self.views.random_index();
        let second_index = self.views.random_index();
        self.next_turns[entry] += 1;
        let eligible = self.views.eligible(now_us, demand.model);
        let count = eligible.len();
        if count == 0 {
            return None;
        }
        let least_loaded = |indexes: &mut dyn Iterator<Item = usize>| -> Option<&&KnownEndpoint> {
            let known = indexes.map(|index| &eligible[index % count]);
            known.min_by_key(|known| known.estimated_requests(entry))
        };
        let chosen = match self.choice {
            EndpointChoice::LeastRequests => least_loaded(&mut (first_index..first_index + count)),
            EndpointChoice::PowerOfTwo if count > 1 => {
                let other_index = first_index + 1 + second_index % (count - 1);
                least_loaded(&mut [first_index, other_index].into_iter())
            }
            EndpointChoice::PowerOfTwo => eligible.first(),
            EndpointChoice::RoundRobin => eligible.get(self.next_turns[entry] % count),
        };
        chosen.map(|known| known.id)
    }
}

impl Policy for PerEntryPolicy {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::RequestArrived { demand, request } = event else {
            return self.views.apply_event(now_us, &event);
        };
        let entry = EntryViews::entry(request);
        let action = match self.choose(now_us, entry, &event) {
            Some(endpoint) => self.views.grant(now_us, endpoint, demand, request),
            None => Action::Refuse {
                reason: RefusalReason::NoEndpoint,
                request,
                retry_after_ms: 1000,
            },
        };
        actions.push(action);
    }

    fn name(&self) -> &'static str {
        match self.choice {
            EndpointChoice::LeastRequests => "least-requests",
            EndpointChoice::PowerOfTwo => "power-of-two",
            EndpointChoice::RoundRobin => "round-robin",
        }
    }

    fn next_tick_us(&self) -> Option<u64> {
        None
    }
}
