use dispatch::{Action, Event, Policy, RefusalReason};

use crate::baselines::entry_view::EntryViews;

/// Each entry takes the endpoints in turn, from its own start.
#[derive(Debug)]
pub struct RoundRobin {
    turns: [usize; 9],
    views: EntryViews,
}

impl RoundRobin {
    /// Entries that know no endpoint.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            turns: std::array::from_fn(|entry| entry * 7),
            views: EntryViews::new(seed),
        }
    }
}

impl Policy for RoundRobin {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::Requested { demand, request } = event else {
            return self.views.observe(now_us, &event);
        };
        let entry = EntryViews::entry(request);
        let open = self.views.open(now_us, demand.model);
        self.turns[entry] += 1;
        let chosen = open
            .get(self.turns[entry] % open.len().max(1))
            .map(|known| known.endpoint);
        actions.push(match chosen {
            Some(endpoint) => self.views.grant(now_us, endpoint, demand, request),
            None => Action::Refuse {
                reason: RefusalReason::NoEndpoint,
                request,
                retry_after_ms: 1000,
            },
        });
    }

    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn wake_us(&self) -> Option<u64> {
        None
    }
}
