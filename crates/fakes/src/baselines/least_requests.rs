use dispatch::{Action, Event, Policy, RefusalReason};

use crate::baselines::entry_view::EntryViews;

/// Each entry takes the endpoint with the fewest requests that it knows of.
#[derive(Debug)]
pub struct LeastRequests {
    views: EntryViews,
}

impl LeastRequests {
    /// Entries that know no endpoint.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            views: EntryViews::new(seed),
        }
    }
}

impl Policy for LeastRequests {
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        let Event::Requested { demand, request } = event else {
            return self.views.observe(now_us, &event);
        };
        let entry = EntryViews::entry(request);
        let first = self.views.below(1 << 16);
        let open = self.views.open(now_us, demand.model);
        let rotated = (0..open.len()).map(|offset| open[(first + offset) % open.len()]);
        let chosen = rotated
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
        "least-requests"
    }

    fn wake_us(&self) -> Option<u64> {
        None
    }
}
