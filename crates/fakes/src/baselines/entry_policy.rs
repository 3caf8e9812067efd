use dispatch::{Action, Event, Policy, RefusalReason};
use names::EndpointId;

use crate::baselines::entry_view::{ENTRIES, EntryViews, Known};

/// How an entry chooses an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum EndpointChoice {
    /// The fewest requests that it knows of.
    LeastRequests,
    /// The fewer requests of two drawn endpoints.
    PowerOfTwo,
    /// In turn, from its own start.
    RoundRobin,
}

/// Entries that each decide at once from their own view.
#[derive(Debug)]
pub struct PerEntryPolicy {
    choice: EndpointChoice,
    turns: [usize; ENTRIES],
    views: EntryViews,
}

impl PerEntryPolicy {
    /// Entries that know no endpoint.
    #[must_use]
    pub fn new(choice: EndpointChoice, seed: u64) -> Self {
        Self {
            choice,
            turns: std::array::from_fn(|entry| entry * 7),
            views: EntryViews::new(seed),
        }
    }

    fn choose(&mut self, now_us: u64, entry: usize, event: &Event<'_>) -> Option<EndpointId> {
        let Event::RequestArrived { demand, .. } = event else {
            return None;
        };
        let first = self.views.draw();
        let second = self.views.draw();
        self.turns[entry] += 1;
        let open = self.views.open(now_us, demand.model);
        let count = open.len();
        if count == 0 {
            return None;
        }
        let least = |places: &mut dyn Iterator<Item = usize>| -> Option<&&Known> {
            let known = places.map(|place| &open[place % count]);
            known.min_by_key(|known| known.requests(entry))
        };
        let chosen = match self.choice {
            EndpointChoice::LeastRequests => least(&mut (first..first + count)),
            EndpointChoice::PowerOfTwo if count > 1 => {
                let other = first + 1 + second % (count - 1);
                least(&mut [first, other].into_iter())
            }
            EndpointChoice::PowerOfTwo => open.first(),
            EndpointChoice::RoundRobin => open.get(self.turns[entry] % count),
        };
        chosen.map(|known| known.endpoint)
    }
}

impl Policy for PerEntryPolicy {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::RequestArrived { demand, request } = event else {
            return self.views.observe(now_us, &event);
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
