use std::sync::{Arc, Mutex};

use super::known_endpoint::KnownEndpoint;
use crate::EndpointNotice;

/// Time for which the notices of an incarnation are kept after its registration has ended.
const RETENTION_MS: u64 = 3_600_000;

/// Notices of incarnations that are no longer registered. A late heartbeat can register such an
/// incarnation again, and a response that was in flight can still add to its notice.
#[derive(Debug, Default)]
pub(super) struct PastIncarnations {
    /// Sorted by id and start.
    incarnations: Vec<PastIncarnation>,
}

#[derive(Debug)]
struct PastIncarnation {
    expires_at_ms: u64,
    id: String,
    notice: Arc<Mutex<EndpointNotice>>,
    started_at_ms: u64,
}

impl PastIncarnations {
    /// Adds an incarnation whose registration has ended, and removes expired ones.
    pub(super) fn add(&mut self, now_ms: u64, known: &KnownEndpoint) {
        self.incarnations.retain(|past| past.expires_at_ms > now_ms);
        let incarnation = PastIncarnation {
            expires_at_ms: now_ms + RETENTION_MS,
            id: known.endpoint.id.clone(),
            notice: Arc::clone(&known.endpoint.notice),
            started_at_ms: known.started_at_ms,
        };
        match self.find(&incarnation.id, incarnation.started_at_ms) {
            Ok(at) => self.incarnations[at] = incarnation,
            Err(at) => self.incarnations.insert(at, incarnation),
        }
    }

    /// Notice of an incarnation that is registered again; an empty one if it is new.
    pub(super) fn notice(&self, id: &str, started_at_ms: u64) -> Arc<Mutex<EndpointNotice>> {
        let found = self.find(id, started_at_ms).ok();
        found.map_or_else(Arc::default, |at| Arc::clone(&self.incarnations[at].notice))
    }

    fn find(&self, id: &str, started_at_ms: u64) -> Result<usize, usize> {
        self.incarnations.binary_search_by(|past| {
            (past.id.as_str(), past.started_at_ms).cmp(&(id, started_at_ms))
        })
    }
}
