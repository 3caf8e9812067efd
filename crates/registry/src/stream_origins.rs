//! Remembers which service and software version began each recent stream.
//!
//! A client may resume a stream at another instance, which has to find an endpoint of the same
//! software version. Instances report the origin of each resumable stream to several registries,
//! which keep it in memory for longer than a client waits for a stream. The table is a `BTreeMap`,
//! as insertions into a sorted vector of all recent streams would move its items.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time for which an origin is kept at least; clients wait less for a stream.
pub(crate) const RETENTION_MS: u64 = 60_000;

/// Service and software version whose endpoint began a stream.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the endpoint's software.
    pub software_version: String,
}

/// Streams of one origin, whose first events are about to be delivered.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct BegunStreams {
    /// Service and software version that began them.
    pub origin: StreamOrigin,
    /// Ids of the requests that began them.
    pub request_ids: Vec<String>,
}

/// Origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Origins by the hash of the request id.
    current: BTreeMap<u64, Arc<StreamOrigin>>,
    current_since_ms: u64,
    hasher: RandomState,
    /// Sorted; shared by the streams.
    known: Vec<Arc<StreamOrigin>>,
    /// Origins recorded in the retention time before `current`.
    previous: BTreeMap<u64, Arc<StreamOrigin>>,
}

impl StreamOrigins {
    /// Records begun streams. A request has one origin, as only one of its attempts delivers a first event.
    pub fn record(&mut self, now_ms: u64, begun: BegunStreams) {
        self.rotate(now_ms);
        let origin = self.shared(begun.origin);
        for request_id in &begun.request_ids {
            let key = self.hasher.hash_one(request_id);
            self.current.insert(key, Arc::clone(&origin));
        }
    }

    /// Origin of the stream that a request began; it is kept for as long again.
    pub fn find(&mut self, now_ms: u64, request_id: &str) -> Option<StreamOrigin> {
        self.rotate(now_ms);
        let key = self.hasher.hash_one(request_id);
        if let Some(origin) = self.previous.remove(&key) {
            self.current.entry(key).or_insert(origin);
        }
        let found = self.current.get(&key);
        found.map(|origin| StreamOrigin::clone(origin))
    }

    fn shared(&mut self, origin: StreamOrigin) -> Arc<StreamOrigin> {
        let at = match self.known.binary_search_by(|known| (**known).cmp(&origin)) {
            Ok(at) => at,
            Err(at) => {
                self.known.insert(at, Arc::new(origin));
                at
            }
        };
        Arc::clone(&self.known[at])
    }

    /// Drops the older half once the newer one spans the retention time.
    fn rotate(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.current_since_ms);
        if age_ms < RETENTION_MS {
            return;
        }
        let expired = std::mem::take(&mut self.current);
        self.previous = if age_ms < 2 * RETENTION_MS {
            expired
        } else {
            BTreeMap::new()
        };
        self.current_since_ms = now_ms;
        self.known.retain(|origin| Arc::strong_count(origin) > 1);
    }
}
