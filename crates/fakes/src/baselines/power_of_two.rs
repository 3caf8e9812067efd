use dispatch::{Action, Event, Policy, RefusalReason};

use crate::baselines::entry_view::EntryViews;

/// Each entry draws two endpoints and takes the one with fewer requests that it knows of.
#[derive(Debug)]
pub struct PowerOfTwo {
    views: EntryViews,
}

impl PowerOfTwo {
    /// Entries that know no endpoint.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            views: EntryViews::new(seed),
        }
    }
}

impl Policy for PowerOfTwo {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::Requested { demand, request } = event else {
            return self.views.observe(now_us, &event);
        };
        let entry = EntryViews::entry(request);
        let (first, second) = (self.views.below(1 << 16), self.views.below(1 << 16));
        let open = self.views.open(now_us, demand.model);
        let count = open.len().max(1);
        let other = first + 1 + second % (count - 1).max(1);
        let drawn = [first, other].map(|draw| open.get(draw % count));
        let drawn = drawn.into_iter().flatten();
        let chosen = drawn
            .min_by_key(|known| known.requests(entry))
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
        "power-of-two"
    }

    fn wake_us(&self) -> Option<u64> {
        None
    }
}
